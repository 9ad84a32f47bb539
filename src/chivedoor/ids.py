"""Identifiers shared by all packages."""

from typing import NewType

VmId = NewType("VmId", str)
DomainId = NewType("DomainId", str)
RegionId = NewType("RegionId", str)
ServiceId = NewType("ServiceId", str)
EndpointNumber = NewType("EndpointNumber", int)
Version = NewType("Version", int)
FlowKey = NewType("FlowKey", int)
Generation = NewType("Generation", int)
Incarnation = NewType("Incarnation", int)
EndpointId = NewType("EndpointId", str)
Era = NewType("Era", int)
Tag = NewType("Tag", int)
