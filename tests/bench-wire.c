/* Benchmark of the frames between processes, for docs/CAPACITY.md: bytes and
   processor time, one line for each kind of frame.  Short frames are on a link
   that knows their names and the last stamp (a later stamp adds 1 or 2 bytes);
   full frames are without that state.  Use a release build for the times:

     meson setup build-release --buildtype=release
     build-release/tests/bench-wire  */

#include "base/clock.h"
#include "wire/msg.h"

#include <math.h>
#include <stdio.h>
#include <time.h>

#define ROUNDS 20000
#define STAMP 0x019376c5a1b20003ull
#define REVISION 123456u
#define INCARNATION 0xc0ffee0ddba11aadull
#define BATCH_ENTRIES 20

static const char service[] = "draft-commentary";
static const char account[] = "branch-0123";
static const char request[] = "7f3a9c51d2e84b06";

static msg_waiting_t waiting[BATCH_ENTRIES];
static msg_report_entry_t reports[BATCH_ENTRIES];
static msg_share_entry_t shares[BATCH_ENTRIES];
static uint8_t chunk[1024];
static const char *const header_lines[] = { "Content-Type: application/json" };

typedef struct
{
  const char *name;
  msg_t message;
} bench_case_t;

static void
fill_entries (void)
{
  for (int i = 0; i < BATCH_ENTRIES; i++)
    {
      waiting[i] = (msg_waiting_t){ account, 3, 1, 250, 1234567.75 + i };
      reports[i]
          = (msg_report_entry_t){ account,   service,    4711 + i,   1234567.5,
                                  1234000.5, 7654321.25, 7650000.25, true };
      shares[i] = (msg_share_entry_t){ account, service, 4711 + i, 1234567.5,
                                       7654321.25 };
    }
}

static double
read_cpu_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * 1e6 + t.tv_nsec / 1e3;
}

/* Returns the frame for ROW once the other end knows its names; both states
   are left as they are then.  */
static GByteArray *
encode_short_frame (const bench_case_t *row, msg_state_t *sender,
                    msg_state_t *receiver)
{
  GByteArray *frame = NULL;

  for (int i = 0; i < 2; i++)
    {
      size_t prefix;
      uint32_t length;

      g_clear_pointer (&frame, g_byte_array_unref);
      frame = msg_encode (&row->message, sender);
      (void)msg_parse_length (frame->data, frame->len, true, &length, &prefix);
      msg_free (msg_decode (frame->data + prefix, length, receiver, NULL));
    }
  return frame;
}

static void
measure_case (const bench_case_t *row)
{
  msg_state_t sender = { 0 };
  msg_state_t receiver = { 0 };
  g_autoptr (GByteArray) whole = msg_encode (&row->message, NULL);
  g_autoptr (GByteArray) frame = encode_short_frame (row, &sender, &receiver);
  size_t prefix;
  uint32_t length;
  double start = read_cpu_us ();
  double encoded;

  (void)msg_parse_length (frame->data, frame->len, true, &length, &prefix);
  for (int i = 0; i < ROUNDS; i++)
    g_byte_array_unref (msg_encode (&row->message, &sender));
  encoded = read_cpu_us ();
  for (int i = 0; i < ROUNDS; i++)
    msg_free (msg_decode (frame->data + prefix, length, &receiver, NULL));
  printf ("%-24s %6u bytes, whole %6u  encode %6.2f us  decode %6.2f us\n",
          row->name, frame->len, whole->len, (encoded - start) / ROUNDS,
          (read_cpu_us () - encoded) / ROUNDS);
  msg_state_clear (&sender);
  msg_state_clear (&receiver);
}

int
main (void)
{
  const msg_waiting_t left = { account, 3, 1, 250, 1234567.75 };
  const bench_case_t cases[] = {
    { "PING", { .kind = MSG_PING } },
    { "GRANT",
      { .kind = MSG_GRANT,
        .u.grant
        = { 4711, INCARNATION, service, account, 1234567.75, 1230000.25 } } },
    { "ASSIGN without body",
      { .kind = MSG_ASSIGN,
        .u.assign = { 4711,
                      INCARNATION,
                      request,
                      account,
                      service,
                      "POST",
                      "/v1/chat/completions",
                      1,
                      header_lines,
                      { NULL, 0 },
                      1500.25,
                      true,
                      left } } },
    { "ASSIGN with 1 KiB",
      { .kind = MSG_ASSIGN,
        .u.assign = { 4711,
                      INCARNATION,
                      request,
                      account,
                      service,
                      "POST",
                      "/v1/chat/completions",
                      1,
                      header_lines,
                      { chunk, sizeof chunk },
                      1500.25,
                      true,
                      left } } },
    { "DECLINE",
      { .kind = MSG_DECLINE,
        .u.decline = { 4711, DECLINE_NO_WORK, service, left } } },
    { "ANNOUNCE of 1",
      { .kind = MSG_ANNOUNCE,
        .u.announce = { service, false, 3000, 1, waiting } } },
    { "ANNOUNCE of 20",
      { .kind = MSG_ANNOUNCE,
        .u.announce = { service, true, 3000, BATCH_ENTRIES, waiting } } },
    { "HEAD",
      { .kind = MSG_HEAD, .u.head = { request, 200, 1, header_lines } } },
    { "DATA of 100",
      { .kind = MSG_DATA,
        .u.data = { request, 65000, 300, { chunk, 100 } } } },
    { "END",
      { .kind = MSG_END,
        .u.end = { request, OUTCOME_COMPLETE, 65000, 800, 300, "" } } },
    { "ACK", { .kind = MSG_ACK, .u.ack = { request, 65000, false } } },
    { "REPORT of 1", { .kind = MSG_REPORT, .u.report = { 1, reports } } },
    { "REPORT of 20",
      { .kind = MSG_REPORT, .u.report = { BATCH_ENTRIES, reports } } },
    { "SHARE of 1", { .kind = MSG_SHARE, .u.share = { 1, shares } } },
    { "SHARE of 20",
      { .kind = MSG_SHARE, .u.share = { BATCH_ENTRIES, shares } } },
    { "LOAD", { .kind = MSG_LOAD, .u.load = { service, 7, 8, 3 } } },
  };

  fill_entries ();
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bench_case_t row = cases[i];

      row.message.stamp = STAMP;
      row.message.revision = REVISION;
      measure_case (&row);
    }
  return 0;
}
