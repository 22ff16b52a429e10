"""Configuration: the platform's LB_CONFIG (JSON) and the operators' file (TOML).

Returns validated, immutable records, and raises `ConfigError` with file, field and reason for invalid configuration.
The configured packages decide what the settings mean and when a file is reloaded.
"""
