"""Messages between routers."""
