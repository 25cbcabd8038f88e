//! State shared by all commands.

use super::client::OperatorClient;
use super::presentation::Presenter;

/// Client and presenter; each command is a method.
pub(super) struct OperatorSession<'p, W> {
    /// Client of the daemon.
    pub(super) client: OperatorClient,
    /// Writer of the results.
    pub(super) presenter: &'p mut Presenter<W>,
}
