import test from 'ava';
import {createEndpoint} from '../../fixtures/gateway/documents.js';
import {FakeInstance} from '../../fixtures/gateway/fake-forwarding.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

// Guards against a refusal of a request that an endpoint has, which may run although its caller is told that it did not.
test('only a request that was not sent is refused in favour of others', t => {
	const instance = new FakeInstance({clock: ManualClock.create(), records: [createEndpoint({id: 'e1', slots: 1})], ratio: 0});
	const sent = instance.call();
	const waiting = instance.call();
	t.deepEqual([sent, waiting].map(({task}) => task.isInFlight), [true, false]);
	sent.task.refuseForMemory();
	waiting.task.refuseForMemory();
	t.deepEqual(sent.failures, []);
	t.deepEqual(waiting.failures, [{type: 'memoryExhausted', retryAfterMs: 1000}]);
	t.like(waiting.result, {outcome: 'memoryExhausted', mayHaveRun: false});
	instance.exchanges[0]!.respond('done');
	t.deepEqual(sent.statuses, [200]);
	t.is(instance.exchanges.length, 1);
});
