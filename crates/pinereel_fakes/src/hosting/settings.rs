//! Fills in the deployment's template as the platform does.

use serde_json::Value;

/// Fills in `template` with `fields`: values, and sections that depend on whether one is there.
pub fn fill(template: &str, fields: &Value) -> String {
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
            if find(fields, section).is_some() {
                text.push_str(&fill(inner, fields));
            }
            rest = after;
        } else {
            text.push_str(&value(fields, name));
        }
    }
    text.push_str(rest);
    text
}

fn find<'a>(fields: &'a Value, name: &str) -> Option<&'a Value> {
    let mut found = fields;
    for part in name.split('.') {
        found = match part.parse::<usize>() {
            Ok(index) if found.is_array() => found.get(index)?,
            _ => found.get(part)?,
        };
    }
    Some(found)
}

fn value(fields: &Value, name: &str) -> String {
    match find(fields, name) {
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
