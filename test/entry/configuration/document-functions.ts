/** Test implementations of the functions for documents. A document is valid unless it has `isInvalid: true`. */
import type {ConfigurationFunctions} from '../../../src/entry/configuration/configuration-in-force.js';
import type {Configuration} from '../../../src/shared/configuration/schema.js';

type TestDocument = {readonly isInvalid?: boolean} & Readonly<Record<string, unknown>>;

export const documentFunctions: ConfigurationFunctions = {
	mergeOverlay: (base, overlay) => ({...(base as TestDocument), ...(overlay as TestDocument)}),
	checkDocument(merged, {file}) {
		const document = merged as TestDocument;
		return document.isInvalid === true
			? {
				ok: false, problems: [{
					file, path: 'isInvalid', value: true, expected: 'false',
				}],
			}
			: {ok: true, configuration: document as unknown as Configuration};
	},
	differenceBetween: (before, after) => [{path: '', before, after}],
};
