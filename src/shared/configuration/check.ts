import type {z} from 'zod';
import {toPointer, valueAt} from './pointer.js';
import {checkCrossFieldRules, type Violation} from './cross-field-rules.js';
import {configurationSchema, type Configuration} from './schema.js';

/** A problem found in a document. */
export type ConfigurationProblem = {
	/** The file, or another name of the source, that sets the value. */
	readonly file: string;
	/** JSON pointer (RFC 6901) into the merged document. */
	readonly path: string;
	/** The value that was found; absent when the path has no value. */
	readonly value?: unknown;
	readonly expected: string;
};

export type CheckOptions = {
	/** The name of the base document, used in problems. */
	readonly file: string;
	/** The overlay that was merged in. Problems with values that the overlay sets name the overlay's file. Default: none. */
	readonly overlay?: {readonly file: string; readonly document: unknown};
};

export type CheckResult
	= | {readonly ok: true; readonly configuration: Configuration}
		| {readonly ok: false; readonly problems: ConfigurationProblem[]};

/** Checks a merged document and returns the configuration with all defaults filled in, or all problems. */
export function checkDocument(merged: unknown, options: CheckOptions): CheckResult {
	const parsed = configurationSchema.safeParse(merged);
	const schemaViolations = parsed.success ? [] : parsed.error.issues.flatMap(issue => toViolations(issue));
	const violations = [...schemaViolations, ...checkCrossFieldRules(merged)];
	if (parsed.success && violations.length === 0) {
		return {ok: true, configuration: parsed.data};
	}

	return {ok: false, problems: violations.map(violation => toProblem(violation, merged, options))};
}

function toProblem({path, expected, value}: Violation, merged: unknown, {file, overlay}: CheckOptions): ConfigurationProblem {
	const isFromOverlay = overlay !== undefined && path.length > 0 && valueAt(overlay.document, path) !== undefined;
	return {
		file: isFromOverlay ? overlay.file : file,
		path: toPointer(path),
		value: value ?? valueAt(merged, path),
		expected,
	};
}

type Issue = z.core.$ZodIssue;

function toViolations(issue: Issue): Violation[] {
	const path = issue.path.filter(part => typeof part !== 'symbol');
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: [...path, key], expected: 'no field of this name'}));
	}

	return [{path, expected: describeExpected(issue)}];
}

type DescribeIssue = (issue: Issue) => string | undefined;

function issueDescription<Code extends Issue['code']>(code: Code, describe: (issue: Extract<Issue, {readonly code: Code}>) => string | undefined): [string, DescribeIssue] {
	return [code, describe as DescribeIssue];
}

/** Descriptions for the issue codes whose message from zod does not state the expected value. */
const issueDescriptions = new Map<string, DescribeIssue>([
	issueDescription('invalid_type', issue => typeNames[issue.expected] ?? `a value of type ${issue.expected}`),
	issueDescription('invalid_value', issue => `one of ${issue.values.map(String).join(', ')}`),
	issueDescription('invalid_union', issue => 'options' in issue ? `one of ${issue.options?.map(String).join(', ')}` : undefined),
	issueDescription('too_small', issue => `${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}${unitSuffixOf(issue.origin)}`),
	issueDescription('too_big', issue => `${issue.inclusive ? 'at most' : 'less than'} ${issue.maximum}${unitSuffixOf(issue.origin)}`),
]);

const typeNames: Readonly<Record<string, string>> = {
	int: 'a whole number', number: 'a number', string: 'a string', boolean: 'true or false', array: 'an array', record: 'an object', object: 'an object',
};

function describeExpected(issue: Issue): string {
	return (issueDescriptions.get(issue.code)?.(issue) ?? issue.message).replace(/^expected /v, '');
}

const unitSuffixes: Readonly<Record<string, string>> = {array: ' elements', string: ' characters'};

function unitSuffixOf(origin: string): string {
	return unitSuffixes[origin] ?? '';
}

/** Formats a problem as one line. */
export function formatProblem({file, path, value, expected}: ConfigurationProblem): string {
	const found = value === undefined ? 'nothing' : JSON.stringify(value);
	return `${file}: ${path === '' ? '/' : path}: found ${found}, expected ${expected}`;
}

