//! The callers of the soak.

use std::error::Error;

use standins::soak::count_calls_without_end;

/// Guards against a call that lasts until its deadline after its connection was reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_ends_with_its_connection() -> Result<(), Box<dyn Error>> {
    assert_eq!(count_calls_without_end(12, 3500).await?, 0);
    Ok(())
}
