import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SINGLE_READS } from '../src/clients/key-ranges.js';
import { JobLookups } from '../src/controller/api/job-lookups.js';
import { RequestPriority } from '../src/runtime/request-budget.js';

test('a failed batch read rejects each of its lookups, and the next lookup is read again', async () => {
  let batches = 0;
  let endReads = () => {};
  const reads = new Promise<null>((resolve) => {
    endReads = () => resolve(null);
  });
  const lookups = new JobLookups(
    {
      find: () => reads,
      findMany: () => {
        batches++;
        return Promise.reject(new Error('not read'));
      },
    },
    RequestPriority.queries,
  );
  const single = Array.from({ length: SINGLE_READS }, (_, i) => lookups.find(`req-${i}`));
  const batch = ['req-100', 'req-100', 'req-101'].map((id) => lookups.find(id));
  endReads();
  for (const result of await Promise.allSettled(single)) assert.equal(result.status, 'fulfilled');
  for (const result of await Promise.allSettled(batch)) assert.equal(result.status, 'rejected');
  assert.equal(batches, 1);
  assert.equal(await lookups.find('req-102'), null);
});
