import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type RefusalReason,
  refuse,
  refuseMalformed,
  refuseUnknownDependencies,
} from '../src/controller/api/refusals.js';
import { MalformedMessageError } from '../src/protocol/json-fields.js';

/** Statuses and texts that external users depend on, letter for letter. */
const EXPECTED: Record<RefusalReason, [status: number, text: string]> = {
  notJson: [400, 'not JSON'],
  unknownJob: [404, 'no such job'],
  unknownTeam: [422, 'unknown team'],
  fitsNoMachineType: [422, 'a task fits no allowed machine type'],
  exceedsTeamMaximum: [422, "over the team's limit"],
  dependsOnItself: [422, 'the job names itself'],
  jobTooLarge: [422, 'the description of the job is too large'],
  machineTypesUnknown: [503, 'machine types are not known yet'],
  memoryLow: [503, 'no memory for further jobs'],
  sameJobAtAnotherNode: [503, 'another node has the same job'],
  changedMeanwhile: [503, 'try again'],
  stateServiceUnreachable: [503, 'the state service is out of reach'],
};

test('every refusal has its status and text, and a 503 has a retry time', () => {
  for (const [reason, [status, text]] of Object.entries(EXPECTED)) {
    const expected = { status, body: { error: text } };
    assert.deepEqual(
      refuse(reason as RefusalReason),
      status === 503 ? { ...expected, retryAfterS: 1 } : expected,
    );
  }
});

test('a malformed submission is refused with its error, unknown dependencies with the first five ids', () => {
  assert.deepEqual(refuseMalformed(new MalformedMessageError('form must be array')), {
    status: 400,
    body: { error: 'form must be array' },
  });
  assert.deepEqual(refuseUnknownDependencies(['a', 'b', 'c', 'd', 'e', 'f']), {
    status: 422,
    body: { error: 'never accepted: a, b, c, d, e' },
  });
});
