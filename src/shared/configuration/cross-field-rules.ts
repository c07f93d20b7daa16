import {isJsonObject} from './overlay.js';
import {type DocumentPath, valueAt} from './pointer.js';
import {nameSchema, policySchema} from './schema.js';

/** A value of a document that violates a rule. */
export type Violation = {
	readonly path: DocumentPath;
	readonly expected: string;
	/** What was found, unless it is the value at the path. */
	readonly value?: unknown;
};

type Rule = (document: unknown) => Violation[];

/** Heartbeat intervals in one lease. With fewer, the loss of a single heartbeat could end a lease. */
const minimumHeartbeatsPerLease = 3;

const policyDefaults = policySchema.parse({});

/**
Checks the rules that concern more than one value.

The document need not match the schema: values of the wrong type are skipped here, so that schema problems and these are reported together.
*/
export function checkCrossFieldRules(document: unknown): Violation[] {
	return rules.flatMap(rule => rule(document));
}

const sections = ['availabilityZones', 'tiers', 'services', 'endpoints', 'entrySlots', 'workspaces'] as const;

const rules: readonly Rule[] = [
	checkNames,
	document => checkNotEmpty(document, 'tiers'),
	document => checkNotEmpty(document, 'availabilityZones'),
	document => checkNotEmpty(document, 'entrySlots'),
	document => checkReferencedNames(document, 'availabilityZones', 'region', regionNames(document)),
	document => checkReferencedNames(document, 'endpoints', 'service', namesInSection(document, 'services')),
	document => checkReferencedNames(document, 'endpoints', 'availabilityZone', namesInSection(document, 'availabilityZones')),
	document => checkReferencedNames(document, 'entrySlots', 'availabilityZone', namesInSection(document, 'availabilityZones')),
	document => checkReferencedNames(document, 'workspaces', 'highestTier', namesInSection(document, 'tiers')),
	document => checkReferencedNames(document, 'workspaces', 'defaultTier', namesInSection(document, 'tiers')),
	document => checkUnique(regionPaths(document), 'a region that is not listed before', document),
	document => checkUnique(memberPaths(document, 'tiers', ['rank']), 'a rank that no other tier has', document),
	document => checkUnique(memberPaths(document, 'endpoints', ['address']), 'an address that no other endpoint has', document),
	document => checkUnique(modelPaths(document), 'a model name that no other service has', document),
	checkUniqueOperations,
	checkTierBounds,
	checkColdUnits,
	checkDefaultTier,
	checkLeaseDuration,
];

function sectionEntries(document: unknown, sectionName: string): Array<[string, unknown]> {
	const value = valueAt(document, [sectionName]);
	return isJsonObject(value) ? Object.entries(value) : [];
}

function namesInSection(document: unknown, sectionName: string): string[] {
	return sectionEntries(document, sectionName).map(([key]) => key);
}

function memberPaths(document: unknown, sectionName: string, member: DocumentPath): DocumentPath[] {
	return namesInSection(document, sectionName).map(key => [sectionName, key, ...member]);
}

function regionPaths(document: unknown): DocumentPath[] {
	return elementPaths(document, ['regions']);
}

function regionNames(document: unknown): string[] {
	return regionPaths(document).map(path => String(valueAt(document, path)));
}

function modelPaths(document: unknown): DocumentPath[] {
	return memberPaths(document, 'services', ['models']).flatMap(path => elementPaths(document, path));
}

function elementPaths(document: unknown, path: DocumentPath): DocumentPath[] {
	const value = valueAt(document, path);
	return Array.isArray(value) ? value.map((_, index) => [...path, index]) : [];
}

function numberAt(document: unknown, path: DocumentPath): number | undefined {
	const value = valueAt(document, path);
	return typeof value === 'number' ? value : undefined;
}

function checkNames(document: unknown): Violation[] {
	return sections.flatMap(sectionName => namesInSection(document, sectionName).flatMap(key => {
		const result = nameSchema.safeParse(key);
		return result.success ? [] : [{path: [sectionName, key], expected: result.error.issues[0]!.message.replace(/^expected /v, ''), value: key}];
	}));
}

function checkNotEmpty(document: unknown, sectionName: string): Violation[] {
	const value = valueAt(document, [sectionName]);
	return isJsonObject(value) && Object.keys(value).length === 0 ? [{path: [sectionName], expected: 'at least one member'}] : [];
}

function checkReferencedNames(document: unknown, sectionName: string, member: string, knownNames: readonly string[]): Violation[] {
	const expected = knownNames.length === 0 ? 'a configured name, but none is configured' : `one of ${knownNames.join(', ')}`;
	return memberPaths(document, sectionName, [member])
		.filter(path => {
			const value = valueAt(document, path);
			return typeof value === 'string' && !knownNames.includes(value);
		})
		.map(path => ({path, expected}));
}

function checkUnique(paths: readonly DocumentPath[], expected: string, document: unknown): Violation[] {
	const firstPaths = new Map<unknown, DocumentPath>();
	const violations: Violation[] = [];
	for (const path of paths) {
		const value = valueAt(document, path);
		const firstPath = firstPaths.get(value);
		if (firstPath) {
			violations.push({path, expected: `${expected} (${firstPath.join('.')} has it)`});
		} else if (value !== undefined) {
			firstPaths.set(value, path);
		}
	}

	return violations;
}

function checkUniqueOperations(document: unknown): Violation[] {
	return memberPaths(document, 'services', ['operations']).flatMap(servicePath => {
		const seen = new Set<string>();
		return elementPaths(document, servicePath).flatMap(path => {
			const key = JSON.stringify([valueAt(document, [...path, 'method']), valueAt(document, [...path, 'pathPrefix'])]);
			const isRepeated = seen.has(key);
			seen.add(key);
			return isRepeated ? [{path, expected: 'a method and path prefix that no other operation of the service has'}] : [];
		});
	});
}

function checkAtMost(document: unknown, path: DocumentPath, limitPath: DocumentPath): Violation[] {
	const value = numberAt(document, path);
	const limit = numberAt(document, limitPath);
	return value !== undefined && limit !== undefined && value > limit
		? [{path, expected: `at most ${limitPath.at(-1)}, which is ${limit}`}]
		: [];
}

function checkTierBounds(document: unknown): Violation[] {
	return memberPaths(document, 'tiers', []).flatMap(path =>
		checkAtMost(document, [...path, 'firstTokenMilliseconds'], [...path, 'answerMilliseconds']));
}

function checkColdUnits(document: unknown): Violation[] {
	return memberPaths(document, 'endpoints', ['limit']).flatMap(path =>
		checkAtMost(document, [...path, 'coldUnits'], [...path, 'units']));
}

function checkDefaultTier(document: unknown): Violation[] {
	return sectionEntries(document, 'workspaces').flatMap(([key, workspace]) => {
		const highest = String(valueAt(workspace, ['highestTier']));
		const rank = numberAt(document, ['tiers', String(valueAt(workspace, ['defaultTier'])), 'rank']);
		const highestRank = numberAt(document, ['tiers', highest, 'rank']);
		return rank !== undefined && highestRank !== undefined && rank < highestRank
			? [{path: ['workspaces', key, 'defaultTier'], expected: `a tier that is not above highestTier, which is ${highest}`}]
			: [];
	});
}

function checkLeaseDuration(document: unknown): Violation[] {
	const path = ['policy', 'leaseMilliseconds'];
	const heartbeatMs = numberAt(document, ['policy', 'heartbeatMilliseconds']) ?? policyDefaults.heartbeatMilliseconds;
	const leaseMs = numberAt(document, path) ?? policyDefaults.leaseMilliseconds;
	const minimumMs = minimumHeartbeatsPerLease * heartbeatMs;
	return leaseMs < minimumMs ? [{path, expected: `at least ${minimumMs}, which is ${minimumHeartbeatsPerLease} heartbeats`}] : [];
}
