import {readFile} from 'node:fs/promises';
import path from 'node:path';
import test from 'ava';
import {GatewayBundle} from '../fixtures/gateway/gateway-program.js';

/** Only strings make a line longer than the limit of the bundler. */
const maximumLineLength = 2048;

// Guards against one failed assertion in a library that stops the process for half a minute, because Node.js parses its line for the message.
test('no line of the bundle is long enough to make the description of a failed assertion slow', async t => {
	const bundle = await GatewayBundle.build();
	t.teardown(async () => bundle.dispose());
	const text = await readFile(path.join(bundle.directory, 'jackdawfork-gateway.mjs'), 'utf8');
	t.deepEqual(text.split('\n').map(({length}) => length).filter(length => length > maximumLineLength), []);
});
