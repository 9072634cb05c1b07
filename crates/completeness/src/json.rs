//! The end of a JSON document.

/// Where a JSON document stands after the bytes so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum JsonState {
    /// Nothing but white space has arrived.
    #[default]
    Empty,
    /// Inside an object or array.
    Open,
    /// The object or array has ended.
    Closed,
    /// Not one object or array, so that the bytes do not show where the document ends.
    Other,
}

/// Follows an object or array to its closing bracket. The document is not validated.
#[derive(Debug, Clone, Default)]
pub(crate) struct JsonScanner {
    state: JsonState,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl JsonScanner {
    pub(crate) fn push(&mut self, data: &[u8]) {
        for &byte in data {
            self.push_byte(byte);
        }
    }

    pub(crate) fn state(&self) -> JsonState {
        self.state
    }

    fn push_byte(&mut self, byte: u8) {
        match self.state {
            JsonState::Open if self.in_string => self.push_string_byte(byte),
            JsonState::Open => match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.close(),
                _ => {}
            },
            JsonState::Empty if matches!(byte, b'{' | b'[') => {
                self.state = JsonState::Open;
                self.depth = 1;
            }
            JsonState::Empty | JsonState::Closed if !byte.is_ascii_whitespace() => {
                self.state = JsonState::Other;
            }
            JsonState::Empty | JsonState::Closed | JsonState::Other => {}
        }
    }

    fn push_string_byte(&mut self, byte: u8) {
        let escaped = std::mem::replace(&mut self.escaped, false);
        match byte {
            _ if escaped => {}
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }

    fn close(&mut self) {
        self.depth -= 1;
        if self.depth == 0 {
            self.state = JsonState::Closed;
        }
    }
}
