"""The operator's file: a TOML file that configures all applications that a sidecar serves."""
