"""Identifier types shared by all modules."""

import typing

ExecutorId = typing.NewType('ExecutorId', str)
"""An executor's id, which may stay the same across restarts."""
VmId = typing.NewType('VmId', str)
"""One incarnation of an executor; see
:mod:`oleanderwood.pools.incarnations`."""
Fence = typing.NewType('Fence', int)
"""See :mod:`oleanderwood.pools.fences`."""
PoolId = typing.NewType('PoolId', str)
ServiceId = typing.NewType('ServiceId', str)
TeamId = typing.NewType('TeamId', str)
TenantId = typing.NewType('TenantId', str)
KeyDigest = typing.NewType('KeyDigest', bytes)
"""Digest of a caller's key; the key itself is not stored."""
JobId = typing.NewType('JobId', str)
DataCentre = typing.NewType('DataCentre', str)
OperationId = typing.NewType('OperationId', str)
Address = typing.NewType('Address', str)
"""An IP address and a port, as in ``127.0.0.1:8080``."""
TaskId = typing.NewType('TaskId', str)
"""Job, occurrence, step and index, as in ``5c0e7a21d94b36f8.0.1.17``."""
