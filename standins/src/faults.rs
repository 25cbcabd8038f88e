//! Faults that can be switched while a stand-in runs.

use std::sync::Arc;

use tokio::sync::watch;

/// Shared, observable set of the faults of one stand-in.
#[derive(Debug)]
pub struct FaultSwitch<F> {
    sender: Arc<watch::Sender<F>>,
}

impl<F> Clone for FaultSwitch<F> {
    fn clone(&self) -> Self {
        Self {
            sender: Arc::clone(&self.sender),
        }
    }
}

impl<F> FaultSwitch<F>
where
    F: Clone + Send + Sync + 'static,
{
    /// Creates a switch with the initial `faults`.
    pub fn new(faults: F) -> Self {
        Self {
            sender: Arc::new(watch::Sender::new(faults)),
        }
    }

    /// Returns the current faults.
    pub fn get(&self) -> F {
        self.sender.borrow().clone()
    }

    /// Reads one value from the current faults.
    pub fn read<T, R>(&self, read: R) -> T
    where
        R: FnOnce(&F) -> T,
    {
        read(&self.sender.borrow())
    }

    /// Replaces all faults.
    pub fn set(&self, faults: F) {
        self.sender.send_replace(faults);
    }

    /// Changes the faults in place.
    pub fn update<U>(&self, update: U)
    where
        U: FnOnce(&mut F),
    {
        self.sender.send_modify(update);
    }

    /// Changes the faults in place and returns what `update` returns: whether it changed
    /// them.
    pub fn update_if<U>(&self, update: U) -> bool
    where
        U: FnOnce(&mut F) -> bool,
    {
        self.sender.send_if_modified(update)
    }

    /// Decrements the counter of a "next N times" fault and returns whether it was above
    /// 0.
    pub fn take_one<C>(&self, counter: C) -> bool
    where
        C: FnOnce(&mut F) -> &mut u32,
    {
        self.sender.send_if_modified(|faults| {
            let left = counter(faults);
            let taken = *left > 0;
            *left = left.saturating_sub(1);
            taken
        })
    }

    /// Waits until the faults satisfy `condition`.
    pub async fn wait_until<C>(&self, condition: C)
    where
        C: Fn(&F) -> bool,
    {
        let mut receiver = self.sender.subscribe();
        // `self` holds the sender, so the channel stays open during the wait.
        let _ = receiver.wait_for(condition).await;
    }
}
