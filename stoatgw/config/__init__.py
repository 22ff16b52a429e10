"""Configuration: LB_CONFIG, which is the platform's, and the operators' own TOML file.

Promises checked, immutable records, and `ConfigError` with file, field and reason for whatever cannot be used.
What the settings mean, and when a file is read anew, is left to the parts that are configured.
"""
