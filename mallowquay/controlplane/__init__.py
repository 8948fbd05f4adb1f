"""The module's decisions for other proxies."""
