//! Serve callers over HTTP/1.1.

pub mod answer;
pub mod body;
pub mod budget;
pub mod handler;
pub mod head;
pub mod openai;
pub mod output;
pub mod parse;
pub mod prompt;
pub mod server;
pub mod stall;
