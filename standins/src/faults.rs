//! Faults that are switched while a stand-in runs.

use std::sync::Arc;

use tokio::sync::watch;

/// Shared, observable set of faults of one stand-in.
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
    /// A switch that starts with `faults`.
    pub fn new(faults: F) -> Self {
        Self {
            sender: Arc::new(watch::Sender::new(faults)),
        }
    }

    /// The faults as they are now.
    pub fn get(&self) -> F {
        self.sender.borrow().clone()
    }

    /// Reads one thing of the present faults.
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

    /// Changes some faults.
    pub fn update<U>(&self, update: U)
    where
        U: FnOnce(&mut F),
    {
        self.sender.send_modify(update);
    }

    /// Changes some faults if they are as `update` wants them; true if so.
    pub fn update_if<U>(&self, update: U) -> bool
    where
        U: FnOnce(&mut F) -> bool,
    {
        self.sender.send_if_modified(update)
    }

    /// Counts one down from a "next N times" fault; true if there was one left.
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
        // The sender lives in `self`, so the wait cannot end by its loss.
        let _ = receiver.wait_for(condition).await;
    }
}
