//! Names of message kinds, for logs and errors.

use std::fmt::{Debug, Error, Write};

use crate::messages::Frame;
use crate::messages::mod_Frame::OneOfbody;

/// Returns the name of the kind of request or response in a frame.
pub fn frame_kind(frame: &Frame) -> String {
    match &frame.body {
        OneOfbody::request(request) => kind_name(&request.kind),
        OneOfbody::response(response) => kind_name(&response.kind),
        OneOfbody::None => String::new(),
    }
}

/// Returns the name of a kind of request or response, without its content.
pub fn kind_name(kind: &impl Debug) -> String {
    let mut name = NameWriter(String::new());
    // The writer fails after the name, so that large contents are not formatted.
    let _ = write!(name, "{kind:?}");
    name.0
}

/// Keeps the text before the first character that cannot be part of a name.
struct NameWriter(String);

impl Write for NameWriter {
    fn write_str(&mut self, text: &str) -> Result<(), Error> {
        let is_in_name = |character: char| character.is_alphanumeric() || character == '_';
        match text.find(|character| !is_in_name(character)) {
            Some(end) => {
                self.0.push_str(&text[..end]);
                Err(Error)
            }
            None => {
                self.0.push_str(text);
                Ok(())
            }
        }
    }
}
