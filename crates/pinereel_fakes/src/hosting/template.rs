//! Renders the deployment's settings template as the platform does.

use serde_json::Value;

/// Renders `template`: replaces `{{name}}` by the value of the field, and keeps the section between
/// `{{#name}}` and `{{/name}}` only if the field exists.
pub fn render(template: &str, fields: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{") {
        let (before, tail) = rest.split_at(begin);
        text.push_str(before);
        let Some(end) = tail.find("}}") else {
            break;
        };
        let name = &tail[2..end];
        rest = &tail[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let (inner, after) = rest.split_once(&close).unwrap_or((rest, ""));
            if lookup(fields, section).is_some() {
                text.push_str(&render(inner, fields));
            }
            rest = after;
        } else {
            text.push_str(&field_text(fields, name));
        }
    }
    text.push_str(rest);
    text
}

fn lookup<'a>(fields: &'a Value, name: &str) -> Option<&'a Value> {
    let mut value = fields;
    for part in name.split('.') {
        value = match part.parse::<usize>() {
            Ok(index) if value.is_array() => value.get(index)?,
            _ => value.get(part)?,
        };
    }
    Some(value)
}

fn field_text(fields: &Value, name: &str) -> String {
    match lookup(fields, name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let texts = list
                .iter()
                .map(|entry| entry.as_str().map_or(entry.to_string(), Into::into));
            texts.collect::<Vec<String>>().join(",")
        }
        Some(other) => other.to_string(),
        None => String::new(),
    }
}
