//! What every command of the command line works with.

use super::client::OperatorClient;
use super::presentation::Presenter;

/// A client and a presenter; each command is a method of it.
pub(super) struct OperatorSession<'p, W> {
    /// Talks to the daemon.
    pub(super) client: OperatorClient,
    /// Writes what the operator sees.
    pub(super) presenter: &'p mut Presenter<W>,
}
