//! Stand-ins for the platform, the engines and the services.
