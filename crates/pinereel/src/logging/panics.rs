//! Log lines about panics.

use std::any::Any;

/// Characters before values in the message of a panic, such as the error of an `expect` or the text that was
/// sliced. What follows the first one may be a key or a caller's text.
const VALUE_DELIMITERS: [char; 5] = [':', '`', '\'', '"', '\n'];

/// The constant beginning of the message of a panic, without the values in it; `None` without a message.
pub fn panic_text(payload: &(dyn Any + Send)) -> Option<&str> {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))?;
    text.split(VALUE_DELIMITERS).next()
}
