import {createSocket} from 'node:dgram';
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {bindDatagramSocket} from '../../src/shared/bind-datagram-socket.js';
import {ReadingMark} from '../../src/shared/reading-mark.js';
import {blockThread} from '../fixtures/block-thread.js';

// Guards against what is judged by its absence although it had arrived before.
test('what had arrived when the mark was sent has been read when it passes, during long rounds too', async t => {
	const fail = (error: Error) => {
		t.fail(`${error.message}`);
	};

	const receiver = createSocket('udp4');
	const sender = createSocket('udp4');
	await bindDatagramSocket(receiver, {host: '127.0.0.1', port: 0}, fail);
	await bindDatagramSocket(sender, {host: '127.0.0.1', port: 0}, fail);
	const mark = await ReadingMark.open(fail);
	t.teardown(() => {
		receiver.close();
		sender.close();
		mark.dispose();
	});
	const received: string[] = [];
	receiver.on('message', datagram => {
		received.push(datagram.toString());
	});
	for (let round = 0; round < 10; round++) {
		const passed = mark.pass();
		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
		sender.send(String(round), receiver.address().port, '127.0.0.1');
		blockThread(20);
		// eslint-disable-next-line no-await-in-loop
		const ageMs = await passed;
		t.true(ageMs < Infinity);
		t.is(received.length, round + 1);
	}
});
