//! One segment of a path, made from a name with arbitrary characters.

use std::fmt::{self, Display, Formatter};

/// A name that is percent-encoded when it is formatted.
///
/// Session names begin with a request id that callers may choose. An unescaped `/` or `?`
/// would change the path: a cancellation would miss its session, and the engine would
/// continue for a caller that has left.
pub(super) struct PathSegment<'a>(pub(super) &'a str);

impl Display for PathSegment<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.bytes().try_for_each(|byte| match byte {
            b'-' | b'.' | b'_' | b'~' => write!(formatter, "{}", char::from(byte)),
            byte if byte.is_ascii_alphanumeric() => write!(formatter, "{}", char::from(byte)),
            byte => write!(formatter, "%{byte:02X}"),
        })
    }
}
