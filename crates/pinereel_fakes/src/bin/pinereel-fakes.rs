//! Runs one stand-in or tool as a process.

fn main() {}
