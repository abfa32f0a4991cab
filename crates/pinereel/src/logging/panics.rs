//! Log lines about panics.

use compact_str::format_compact;
use std::{
    any::Any,
    panic::{self, PanicHookInfo},
    thread,
};

/// Characters before values in the message of a panic, such as the error of an `expect` or the text that was
/// sliced. What follows the first one may be a key or a caller's text.
const VALUE_DELIMITERS: [char; 5] = [':', '`', '\'', '"', '\n'];

/// Logs each panic of this process as an ordinary line with its place, instead of the text on standard error.
pub fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location();
    let place = place.map(|place| format_compact!("{}:{}", place.file(), place.line()));
    let thread = thread::current();
    log::error!(
        place:serde = place,
        why:serde = panic_text(info.payload()),
        thread:serde = thread.name();
        "panic"
    );
}

/// The constant beginning of the message of a panic, without the values in it; `None` without a message.
pub fn panic_text(payload: &(dyn Any + Send)) -> Option<&str> {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))?;
    text.split(VALUE_DELIMITERS).next()
}
