//! Retries: budgets, backoff and the ejection of outliers.

mod backoff;
mod budget;
mod fleet_size;
mod outlier;
mod share;
mod window;

pub use backoff::{BackoffSettings, backoff_delay};
pub use budget::{BudgetSettings, RetryBudget};
pub use fleet_size::FleetSize;
pub use outlier::{EjectionSettings, TargetHealth};
pub use share::{RetryBounds, RetryShare};
pub use window::{GrantId, RetryUse, WindowBudget, WindowSettings, WindowUsage};
