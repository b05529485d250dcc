"""Several balancers that agree, and faults between them: real processes (`stage`), or the fleet's real code in virtual time
(`virtual`); both write a history that `judges` reads. For people `cypresswalk lab together`; docs/operators/fleet.md."""
