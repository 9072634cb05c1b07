//! Boundaries of server-sent events.
//!
//! Lines end with a line feed, a carriage return, or both, and an empty line ends an event. Lines that begin
//! with a colon are comments and belong to no event. A byte order mark may precede the first line.

/// Byte order mark, as UTF-8.
const BYTE_ORDER_MARK: [u8; 3] = [0xEF, 0xBB, 0xBF];

/// The current line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Line {
    /// Nothing of it has arrived.
    #[default]
    Empty,
    Comment,
    Field,
}

/// Finds the boundaries of events in a stream whose bytes may be split anywhere.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    /// Bytes of [`BYTE_ORDER_MARK`] that have arrived; its length once it is over or missing.
    mark_bytes: usize,
    line: Line,
    /// Whether a field of the current event has arrived.
    in_event: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same end of line.
    after_return: bool,
    /// Bytes since the last event ended.
    since_event: u64,
    /// Largest number of bytes that have arrived without the end of an event.
    longest: u64,
}

/// What a piece of a stream contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Scan {
    /// Events that end in the piece.
    pub events: u32,
    /// Offset after the last byte of the piece at which the stream is between events; `None` if it is inside an
    /// event in all of the piece.
    pub boundary: Option<usize>,
}

impl EventScanner {
    /// Reads the next bytes of the stream.
    pub fn push(&mut self, data: &[u8]) -> Scan {
        let mut scan = Scan::default();
        for (index, &byte) in data.iter().enumerate() {
            let ends_event = self.push_byte(byte);
            scan.events += u32::from(ends_event);
            self.since_event += 1;
            self.longest = self.longest.max(self.since_event);
            if ends_event {
                self.since_event = 0;
            }
            if !self.is_inside() {
                scan.boundary = Some(index + 1);
            }
        }
        scan
    }

    /// Whether the stream so far ends inside an event or a line.
    pub fn is_inside(&self) -> bool {
        let inside_mark = (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes);
        self.in_event || self.line != Line::Empty || inside_mark
    }

    /// Length of the longest event in bytes, also of one that has not ended, with the comments before it.
    pub fn longest(&self) -> u64 {
        self.longest
    }

    /// Reads one byte, and returns whether an event ends with it.
    fn push_byte(&mut self, byte: u8) -> bool {
        if self.mark_bytes < BYTE_ORDER_MARK.len() {
            if byte == BYTE_ORDER_MARK[self.mark_bytes] {
                self.mark_bytes += 1;
                return false;
            }
            if self.mark_bytes > 0 {
                // The bytes were no mark but the begin of a field.
                self.line = Line::Field;
                self.in_event = true;
            }
            self.mark_bytes = BYTE_ORDER_MARK.len();
        }
        let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
        match byte {
            b'\n' if after_return => false,
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Empty => {
                self.line = Line::Comment;
                false
            }
            _ if self.line == Line::Empty => {
                self.line = Line::Field;
                self.in_event = true;
                false
            }
            _ => false,
        }
    }

    fn end_line(&mut self) -> bool {
        let was_empty = std::mem::take(&mut self.line) == Line::Empty;
        was_empty && std::mem::take(&mut self.in_event)
    }
}
