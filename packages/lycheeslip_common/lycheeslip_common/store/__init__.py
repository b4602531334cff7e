"""Client of the key-value store."""

from lycheeslip_common.store.client import Store
from lycheeslip_common.store.gateway import Compare, Put
from lycheeslip_common.store.watch import WatchEnded

__all__ = ["Compare", "Put", "Store", "WatchEnded"]
