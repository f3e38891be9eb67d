//! Prints results as text or as JSON.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

/// Prints a result as JSON or as text.
pub fn print<R: Display + Serialize>(json: bool, result: &R) {
    if json {
        print_json(result);
    } else {
        print_line(&result.to_string());
    }
}

/// Prints a value as JSON.
pub fn print_json<R: Serialize>(result: &R) {
    match serde_json::to_string_pretty(result) {
        Ok(text) => print_line(&text),
        Err(error) => eprintln!("{error}"),
    }
}

/// Prints a line. Write errors are ignored, as the reader may have closed the pipe.
pub fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}
