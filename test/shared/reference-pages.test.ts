import {readFileSync} from 'node:fs';
import test from 'ava';
import {z} from 'zod';
import {Metrics} from '../../src/entry/observability/index.js';
import {exitCodes} from '../../src/operator/exit-codes.js';
import {auditEvents} from '../../src/shared/audit.js';
import {configurationSchema} from '../../src/shared/configuration/index.js';
import {failureDefinitions} from '../../src/shared/failure.js';
import {problemTypes} from '../../src/shared/status.js';

/** Cells of all table rows of a documentation page. */
function tableRows(page: string): string[][] {
	return readFileSync(`docs/${page}.md`, 'utf8')
		.split('\n')
		.filter(line => line.startsWith('| '))
		.map(line => line.split('|').slice(1, -1).map(cell => cell.trim()));
}

type JsonSchema = {
	readonly type?: string;
	readonly properties?: Readonly<Record<string, JsonSchema>>;
	readonly additionalProperties?: JsonSchema;
	readonly items?: JsonSchema;
	readonly oneOf?: readonly JsonSchema[];
	readonly anyOf?: readonly JsonSchema[];
	readonly required?: readonly string[];
	readonly default?: unknown;
};

/** The path of each field of a schema with its default as JSON, or `required`. */
function fieldsOf(schema: JsonSchema, path: string, isRequired: boolean): Array<[path: string, defaultValue: string]> {
	const alternatives = schema.oneOf ?? schema.anyOf;
	if (alternatives) {
		return alternatives.flatMap(alternative => fieldsOf(alternative, path, isRequired));
	}

	if (schema.properties) {
		return Object.entries(schema.properties).flatMap(([name, property]) =>
			fieldsOf(property, path === '' ? name : `${path}.${name}`, schema.required?.includes(name) ?? false));
	}

	if (schema.type === 'object' && schema.additionalProperties) {
		return fieldsOf(schema.additionalProperties, `${path}.<name>`, true);
	}

	return schema.type === 'array' && schema.items?.properties
		? fieldsOf(schema.items, `${path}[]`, true)
		: [[path, isRequired ? 'required' : `\`${JSON.stringify(schema.default)}\``]];
}

// Guards against a reference that omits a field, lists a removed one or gives an outdated default.
test('the configuration reference lists every field with its default', t => {
	const schema = z.toJSONSchema(configurationSchema, {io: 'input'}) as JsonSchema;
	const fields = new Map(fieldsOf(schema, '', true));
	const documented = tableRows('configuration').filter(row => row[0]!.startsWith('`')).map(row => [row[0]!.replaceAll('`', ''), row[2]!]);
	t.deepEqual(Object.fromEntries(documented), Object.fromEntries(fields));
});

// Guards against a failure that the page does not explain or explains incorrectly to callers.
test('the page of refusals lists every failure type with its status, outcome and delay', t => {
	const documented = tableRows('refusals').filter(row => row[0]!.startsWith('`')).map(row => row.slice(0, 4));
	const defined = Object.entries(failureDefinitions).map(([type, definition]) => [
		`\`${type}\``, String(definition.status), definition.outcome, 'retryAfterSeconds' in definition ? `${definition.retryAfterSeconds} s` : '',
	]);
	t.deepEqual(documented, defined);
});

test('the operators\' page lists every exit code and every type of problem', t => {
	const firstCells = tableRows('operators').map(row => row[0]!);
	t.deepEqual(firstCells.filter(cell => /^\d$/v.test(cell)), Object.values(exitCodes).map(String));
	const cells = new Set(firstCells);
	t.deepEqual(Object.values(problemTypes).filter(type => !cells.has(`\`${type}\``)), []);
});

test('the operators\' page lists every audit event and every metric', async t => {
	const page = readFileSync('docs/operators.md', 'utf8');
	t.deepEqual(Object.values(auditEvents).filter(event => !page.includes(`\`${event}\``)), []);
	const text = await Metrics.create().text();
	const names = [...text.matchAll(/^# TYPE (?<name>\S+) /gmv)].map(match => match.groups!.name!);
	t.true(names.length > 15);
	t.deepEqual(names.filter(name => !page.includes(`\`${name}\``)), []);
});
