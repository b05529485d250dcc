"""How many balancers and servers may be out at once, for all and by zone. No I/O, no clock; `bounds.why_not` is asked by the agreed
state machine (fleet/agreed.py) at each entry that would take one out."""
