/** Fields of a submission that set every option, with their names on the wire. */
export const FULL_SUBMISSION = {
  rank: 'critical',
  accelerators: 1,
  rigs: ['m16', 'g8'],
  hall: 'b',
  oneZone: true,
  scatter: true,
  loaner: true,
  expectedS: 10.5,
  markEveryS: 60,
  markCostS: 2,
  dueS: 300,
};

/** Ids of the maximum length, so that few of them fill a page. */
export const LONG_IDS = Array.from({ length: 10 }, (_, i) => `req-${String(i).padStart(60, '0')}`);

type WrittenRecords = [key: string, text: string][];

/**
 * Key and JSON text of each value that is written to the state service, in the order of writing.
 * Other versions read these bytes. They may change only together with code that reads both forms.
 */
export const WRITTEN_RECORDS = {
  /** Live jobs: without options, with every option, and with two dependencies. */
  liveJobs: [
    [
      'live/req-000001',
      '{"spec":{"id":"req-000001","jobClass":"work","team":"ops","rank":2,"tasks":2,"cpus":2,"gpus":0,"memoryGb":4,"image":"img","imageGb":1,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":false,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null},"at":1800000001000}',
    ],
    [
      'live/req-000002',
      '{"spec":{"id":"req-000002","jobClass":"work","team":"ops","rank":0,"tasks":2,"cpus":2,"gpus":1,"memoryGb":4,"image":"img","imageGb":1,"types":["m16","g8"],"zone":"b","oneZone":true,"spread":true,"spot":true,"estimateS":10.5,"checkpointS":60,"saveS":2,"deadlineS":300},"at":1800000001000}',
    ],
    [
      'live/req-000003',
      '{"spec":{"id":"req-000003","jobClass":"work","team":"ops","rank":2,"tasks":2,"cpus":2,"gpus":0,"memoryGb":4,"image":"img","imageGb":1,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":false,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null},"at":1800000001000,"upstream":["req-000001","req-000002"]}',
    ],
  ],
  /** A live job with more dependencies than fit into its record, and the page with the others. */
  upstreamPages: [
    [
      'live/req-000004',
      '{"spec":{"id":"req-000004","jobClass":"work","team":"ops","rank":2,"tasks":4,"cpus":4,"gpus":0,"memoryGb":8,"image":"img","imageGb":1,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":true,"estimateS":20,"checkpointS":0,"saveS":0,"deadlineS":null},"at":1800000001000,"upstream":["req-000000000000000000000000000000000000000000000000000000000000","req-000000000000000000000000000000000000000000000000000000000001","req-000000000000000000000000000000000000000000000000000000000002","req-000000000000000000000000000000000000000000000000000000000003"],"upstreamPages":1}',
    ],
    [
      'upstream/req-000004/0',
      '["req-000000000000000000000000000000000000000000000000000000000004","req-000000000000000000000000000000000000000000000000000000000005","req-000000000000000000000000000000000000000000000000000000000006","req-000000000000000000000000000000000000000000000000000000000007","req-000000000000000000000000000000000000000000000000000000000008","req-000000000000000000000000000000000000000000000000000000000009"]',
    ],
  ],
  /** A live job with a dependency list: header, pages and record. */
  upstreamList: [
    ['lists/req-000005/dafb463aead1b3dc', '{"pages":2}'],
    [
      'needs/req-000005/dafb463aead1b3dc/0000',
      '["req-000000000000000000000000000000000000000000000000000000000000","req-000000000000000000000000000000000000000000000000000000000001","req-000000000000000000000000000000000000000000000000000000000002","req-000000000000000000000000000000000000000000000000000000000003","req-000000000000000000000000000000000000000000000000000000000004","req-000000000000000000000000000000000000000000000000000000000005","req-000000000000000000000000000000000000000000000000000000000006","req-000000000000000000000000000000000000000000000000000000000007","req-000000000000000000000000000000000000000000000000000000000008"]',
    ],
    [
      'needs/req-000005/dafb463aead1b3dc/0001',
      '["req-000000000000000000000000000000000000000000000000000000000009"]',
    ],
    [
      'live/req-000005',
      '{"spec":{"id":"req-000005","jobClass":"work","team":"ops","rank":2,"tasks":4,"cpus":4,"gpus":0,"memoryGb":8,"image":"img","imageGb":1,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":true,"estimateS":20,"checkpointS":0,"saveS":0,"deadlineS":null},"at":1800000001000,"upstream":["req-000005/list"],"upstreamList":{"token":"dafb463aead1b3dc","pages":2}}',
    ],
  ],
  /** The header of the same list while the list is being removed. */
  listRemoval: [['lists/req-000005/dafb463aead1b3dc', '{"pages":2,"removing":true}']],
  /**
   * Ended jobs: done, cancelled with a dependency, cancelled on acceptance, cancelled by
   * a user.
   */
  ends: [
    ['over/req-000001', '{"state":"done","tasks":3,"at":1800000001000}'],
    ['over/req-000002', '{"state":"cancelled","tasks":3}'],
    ['over/req-000003', '{"state":"cancelled","tasks":4}'],
    ['over/req-000004', '{"state":"cancelled","tasks":4}'],
  ],
  /** A roster page and bitmaps of finished tasks. */
  progress: [
    [
      'roster/3-1',
      '{"machines":[{"id":"n-1","type":"m16","zone":"a","spot":true,"address":"10.0.0.1:9001"},{"id":"n-2","type":"m16","zone":"b","spot":false,"address":"10.0.0.1:9002"}]}',
    ],
    ['bits/req-000001/0000/0', '"AQIAAAAAAIA="'],
    ['bits/req-000001/0001/64', '"AQAAAAg="'],
  ],
  /** Demand forecasts: the first page and a further one. */
  loads: [
    [
      'loads',
      '{"loads":[{"spec":{"id":"req-000001","jobClass":"large","team":"ops","rank":2,"tasks":8,"cpus":2,"gpus":0,"memoryGb":8,"image":"img","imageGb":1,"types":["m16"],"zone":"a","oneZone":false,"spread":false,"spot":true,"estimateS":20,"checkpointS":0,"saveS":0,"deadlineS":null},"mean":3.2960000000000003,"variance":26.368000000000002,"shape":{"cpus":3.0000000000000004,"gpus":0,"memoryGb":8},"holdS":20.6,"gapMs":45000,"quietMs":0}],"upTo":13,"more":1}',
    ],
    [
      'loads/1',
      '{"loads":[{"spec":{"id":"req-000001","jobClass":"small","team":"ops","rank":2,"tasks":1,"cpus":4,"gpus":0,"memoryGb":8,"image":"img","imageGb":1,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":true,"estimateS":20,"checkpointS":0,"saveS":0,"deadlineS":null},"mean":0.20600000000000002,"variance":0.20600000000000002,"shape":{"cpus":4,"gpus":0,"memoryGb":8},"holdS":20.6,"gapMs":50000,"quietMs":0}]}',
    ],
  ],
  types: [
    [
      'types',
      '[{"name":"m16","cpus":16,"gpus":0,"memoryGb":64,"cacheGb":50,"fetchGbPerS":0.5,"price":1,"spotPrice":0.3,"bootS":40,"zones":["a","b"]},{"name":"g8","cpus":16,"gpus":8,"memoryGb":64,"cacheGb":50,"fetchGbPerS":0.5,"price":1,"spotPrice":0.3,"bootS":40,"zones":["a","b"]}]',
    ],
  ],
  /** A mailbox request and its response. */
  mail: [
    [
      'mail/n-1/n-0/m-7',
      '{"kind":"ask","n":1,"from":"n-0","incarnation":"n-0-1","text":"{\\"cart\\":\\"m-7\\"}"}',
    ],
    [
      'mail/n-0/n-1/m-7',
      '{"kind":"answer","n":1,"incarnation":"n-0-1","value":{"status":200,"body":{"got":"{\\"cart\\":\\"m-7\\"}"}}}',
    ],
  ],
  /** The leader and the term. */
  leader: [
    ['leader', '{"node":"n-0","incarnation":"n-0-1","term":1,"lease":1}'],
    ['term', '1'],
  ],
} satisfies Record<string, WrittenRecords>;

/** Frames between controllers in hexadecimal: a length of four bytes, then one CBOR value. */
export const PEER_FRAMES = {
  status:
    '0000007fb90002646b696e646673746174757366737461747573b90008646e6f6465636e2d306b696e6361726e6174696f6e656e2d302d316673656e744174fb427a3185c53e8000647465726d03676c656164696e67f56773746174654f6bf56b6d656d6f727953686f7274f466636f756e747381836a7265712d3030303431320904',
  peerStatus:
    '00000071b90002646b696e646673746174757366737461747573b90008646e6f6465636e2d316b696e6361726e6174696f6e656e2d312d316673656e744174fb427a3186a0ba0000647465726d02676c656164696e67f46773746174654f6bf56b6d656d6f727953686f7274f566636f756e747380',
  earlierStatus:
    '00000072b90002646b696e646673746174757366737461747573b90007646e6f6465636e2d316b696e6361726e6174696f6e656e2d312d316673656e744174fb427a3186a0ba0000647465726d03676c656164696e67f56773746174654f6bf566636f756e747381836a7265712d3030303431320904',
  cancelled:
    '00000041b90004646b696e646361736b616e01626f706963616e63656c6c6564677061796c6f6164b90002636a6f626a7265712d303030343132687265766973696f6e185a',
  nothing: '0000001bb90003646b696e6466616e73776572616e01677061796c6f6164f6',
  user: '00000052b90004646b696e646361736b616e02626f706475736572677061796c6f6164b90003666d6574686f6464504f535466746172676574682f76312f6a6f627364626f64794e7b226964223a227265712d31227d',
  userReply:
    '00000048b90003646b696e6466616e73776572616e02677061796c6f6164b90003667374617475731901f764626f6479b90001656572726f72656c617465726b726574727941667465725301',
  report:
    '00000030b90004646b696e646361736b616e03626f70667265706f7274677061796c6f61644e7b2263617274223a226d2d37227d',
  reportReply:
    '00000041b90003646b696e6466616e73776572616e03677061796c6f6164b900026673746174757318c864626f6479b90002656261746f6e1a00300000666f726465727380',
};
