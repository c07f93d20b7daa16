import {Buffer} from 'node:buffer';
import {readFile} from 'node:fs/promises';
import {
	checkDocument, digestOf, mergeOverlay, type Configuration, type ConfigurationProblem,
} from '../shared/configuration/index.js';
import {OperatorError} from './operator-error.js';

/** Maximum size of one value in the configuration service. */
export const maximumDocumentBytes = 1_000_000;

/** Result of reading and checking a base document with its overlay. */
export type CheckedDocuments
	= | {readonly ok: true; readonly configuration: Configuration; readonly digest: string}
		| {readonly ok: false; readonly problems: readonly ConfigurationProblem[]};

type Document = {
	readonly file: string;
	readonly bytes: number;
	readonly content: unknown;
};

/**
Reads a base document and its overlay, merges them and checks the result.

@throws {OperatorError} when a file can't be read or is not JSON
*/
export async function readDocuments(baseFile: string, overlayFile?: string): Promise<CheckedDocuments> {
	const [base, overlay] = await Promise.all([readDocument(baseFile), overlayFile === undefined ? undefined : readDocument(overlayFile)]);
	const merged = mergeOverlay(base.content, overlay?.content);
	const result = checkDocument(merged, {file: base.file, overlay: overlay && {file: overlay.file, document: overlay.content}});
	const problems = [...findSizeProblems(base), ...(overlay ? findSizeProblems(overlay) : []), ...(result.ok ? [] : result.problems)];
	return result.ok && problems.length === 0
		? {ok: true, configuration: result.configuration, digest: digestOf(base.content, overlay?.content)}
		: {ok: false, problems};
}

async function readDocument(file: string): Promise<Document> {
	const text = await readText(file);
	try {
		return {file, bytes: Buffer.byteLength(text), content: JSON.parse(text)};
	} catch (error) {
		throw OperatorError.create('document-not-json', `${file}: ${(error as Error).message}`, error);
	}
}

async function readText(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw OperatorError.create('document-unreadable', (error as Error).message, error);
	}
}

function findSizeProblems({file, bytes}: Document): ConfigurationProblem[] {
	return bytes <= maximumDocumentBytes
		? []
		: [{
			file, path: '', value: `${bytes} bytes`, expected: `at most ${maximumDocumentBytes} bytes, which the configuration service holds`,
		}];
}
