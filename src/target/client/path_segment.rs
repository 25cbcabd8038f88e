//! One segment of a path, made from a name that may hold any sign.

use std::fmt::{self, Display, Formatter};

/// A name, percent-encoded when it is written.
///
/// Session names begin with a request id that callers may choose. A `/` or `?`
/// in it would name another path: a cancel would miss its session, and the
/// engine would go on for nobody.
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
