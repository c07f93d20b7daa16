/** Number of instances that are asked. Some of them may have been cut off as well. */
const witnessCount = 3;

/**
Selects at random the instances that are asked whether the store served while this one could not read it.

One of them may be any member: in a large fleet only instances of the own zone are heard, which may all have been cut off, and after a cut of this instance none is heard yet.

@param ownHost this instance
@param present hosts that are heard
@param members hosts that are not forgotten
@param random from 0 (inclusive) to 1 (exclusive)
*/
export function selectWitnesses(ownHost: string, present: readonly string[], members: readonly string[], random: () => number): string[] {
	const witnesses = new Set<string>();
	for (const [hosts, count] of [[present, witnessCount - 1], [members, witnessCount]] as const) {
		const candidates = hosts.filter(host => host !== ownHost && !witnesses.has(host));
		while (witnesses.size < count && candidates.length > 0) {
			const [host] = candidates.splice(Math.floor(random() * candidates.length), 1);
			witnesses.add(host!);
		}
	}

	return [...witnesses];
}
