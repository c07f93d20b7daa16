#!/usr/bin/env node
/** `jackdawfork-config`: checks, prints and compares configuration documents without connecting to any process. */
import {
	differenceBetween, formatProblem, type Configuration, type ConfigurationChange, type ConfigurationProblem,
} from '../shared/configuration/index.js';
import {describeChange} from './change-summary.js';
import {readDocuments, type CheckedDocuments} from './documents.js';
import {exitCodes} from './exit-codes.js';
import {
	createProgram, setExitCode, print, printJson, printDiagnostic, runProgram,
} from './program.js';

type OutputOptions = {
	readonly json?: boolean;
};

const program = createProgram({
	name: 'jackdawfork-config',
	description: 'Checks, prints and compares configuration documents. Exit codes: 0 valid, 1 invalid, 2 wrong command line, 4 unreadable file.',
});

program.command('validate')
	.description('check a base document, merged with an overlay, and report all problems')
	.argument('<base>', 'base document (JSON)')
	.argument('[overlay]', 'overlay of a site (JSON merge patch)')
	.option('--json', 'print the result as JSON')
	.action(async (base: string, overlay: string | undefined, options: OutputOptions) => {
		reportValidation(await readDocuments(base, overlay), options);
	});

program.command('render')
	.description('print the configuration that is in force with a base document and an overlay, with all defaults, as JSON')
	.argument('<base>', 'base document (JSON)')
	.argument('[overlay]', 'overlay of a site (JSON merge patch)')
	.action(async (base: string, overlay: string | undefined) => {
		const result = await readDocuments(base, overlay);
		if (result.ok) {
			printJson(result.configuration);
		} else {
			reportProblems(result.problems, {});
		}
	});

const diff = program.command('diff')
	.description('show which values in force would change, and describe the effects')
	.argument('<base>', 'current base document')
	.argument('<overlay>', 'current overlay')
	.argument('<newBase>', 'new base document')
	.argument('<newOverlay>', 'new overlay')
	.option('--json', 'print the result as JSON')
	.action(async () => {
		const [base, overlay, newBase, newOverlay] = diff.processedArgs as [string, string, string, string];
		const [before, after] = await Promise.all([readDocuments(base, overlay), readDocuments(newBase, newOverlay)]);
		if (before.ok && after.ok) {
			reportDifference(before.configuration, after.configuration, diff.opts());
		} else {
			reportProblems([before, after].flatMap(result => result.ok ? [] : result.problems), diff.opts());
		}
	});

function reportValidation(result: CheckedDocuments, options: OutputOptions): void {
	if (!result.ok) {
		reportProblems(result.problems, options);
		return;
	}

	const {configuration, digest} = result;
	if (options.json) {
		printJson({
			valid: true, site: configuration.site, digest, problems: [],
		});
		return;
	}

	const sections = ['availabilityZones', 'tiers', 'services', 'endpoints', 'entrySlots', 'workspaces'] as const;
	const counts = sections.map(section => `${section} ${Object.keys(configuration[section]).length}`).join(', ');
	print(`valid: site ${configuration.site}, ${counts}, digest ${digest}`);
}

function reportProblems(problems: readonly ConfigurationProblem[], options: OutputOptions): void {
	if (options.json) {
		printJson({valid: false, problems});
	} else {
		for (const problem of problems) {
			printDiagnostic(formatProblem(problem));
		}

		printDiagnostic(`invalid: ${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}`);
	}

	setExitCode(exitCodes.checkFailed);
}

function reportDifference(before: Configuration, after: Configuration, options: OutputOptions): void {
	const changes = differenceBetween(before, after);
	const statements = describeChange(before, after);
	if (options.json) {
		printJson({valid: true, changes, statements});
		return;
	}

	if (changes.length === 0) {
		print('no change in force');
		return;
	}

	print('In words:');
	for (const {severity, text} of statements) {
		print(`  ${severity === 'warning' ? 'WARNING: ' : ''}${text}`);
	}

	print('Values:');
	for (const change of changes) {
		print(`  ${formatChange(change)}`);
	}
}

function formatChange({path, before, after}: ConfigurationChange): string {
	if (before === undefined) {
		return `+ ${path} ${JSON.stringify(after)}`;
	}

	return after === undefined ? `- ${path} ${JSON.stringify(before)}` : `~ ${path} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

await runProgram(program);
