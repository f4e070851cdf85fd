/* Benchmark of a full state transfer, for docs/CAPACITY.md: two processes,
   each with a store like a router's, and frames over a socket.

     bench-state [ACCOUNTS]    default 18,000

   One row is for a receiver that starts empty, one for a receiver that holds
   all accounts but is behind the sender's first list.  Memory is resident; a
   turn makes, packs and writes one part.  */

#include "base/clock.h"
#include "base/log.h"
#include "config/rec.h"
#include "config/store-impl.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ACCOUNTS 18000u
#define BATCH_ACCOUNTS 500u
#define MAX_ASKS 200u
#define PREFIX_BYTES 4u
/* Ends a process that hangs.  */
#define TIMEOUT_S 60

/* Returns the kilobytes in line FIELD of this process's status, or -1.  */
static long
read_status_kb (const char *field)
{
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents ("/proc/self/status", &text, NULL, NULL))
    return -1;
  line = strstr (text, field);
  return line == NULL ? -1 : strtol (line + strlen (field), NULL, 10);
}

/* Resets the peak of the resident memory.  */
static void
reset_peak (void)
{
  FILE *file = fopen ("/proc/self/clear_refs", "we");

  if (file == NULL)
    return;
  fputs ("5", file);
  fclose (file);
}

static void
append_account (GString *text, unsigned number)
{
  g_autofree char *key = g_strdup_printf ("key-%u", number);
  g_autofree char *hash = rec_hash_key_to_hex (key);

  g_string_append_printf (
      text,
      "%s{\"kind\":\"client-account\",\"name\":\"account-%u\",\"version\":"
      "\"%u\",\"revision\":%u,\"spec\":{\"schema\":2,\"weight\":1.5,\"keys\":"
      "[{\"hash\":\"%s\"}],\"queue_max\":400}}",
      text->str[text->len - 1] == '[' ? "" : ",", number, number + 1,
      number + 1, hash);
}

/* Adds all accounts, in batches, so that no large allocation is freed before
   the measurement.  */
static void
fill_store (store_t *store, unsigned accounts)
{
  for (unsigned from = 0; from < accounts; from += BATCH_ACCOUNTS)
    {
      unsigned up_to = MIN (from + BATCH_ACCOUNTS, accounts);
      g_autoptr (GString) text = g_string_new (NULL);
      g_autoptr (JsonNode) root = NULL;

      g_string_printf (text, "{\"revision\":%u,\"objects\":[", up_to);
      for (unsigned i = from; i < up_to; i++)
        append_account (text, i);
      g_string_append (text, "]}");
      root = json_from_string (text->str, NULL);
      store_apply_objects (store, json_node_get_object (root), 1000);
    }
}

static bool
write_frame (int fd, const msg_t *message, size_t *largest)
{
  g_autoptr (GByteArray) frame = msg_encode (message, NULL);

  if (frame == NULL)
    return false;
  *largest = MAX (*largest, frame->len);
  for (size_t done = 0; done < frame->len;)
    {
      ssize_t sent = write (fd, frame->data + done, frame->len - done);

      if (sent <= 0)
        return false;
      done += (size_t)sent;
    }
  return true;
}

static bool
read_bytes (int fd, uint8_t *bytes, size_t length)
{
  for (size_t done = 0; done < length;)
    {
      ssize_t got = read (fd, bytes + done, length - done);

      if (got <= 0)
        return false;
      done += (size_t)got;
    }
  return true;
}

/* Returns the next frame, or NULL at the end of the connection.  */
static msg_t *
read_frame (int fd)
{
  uint8_t prefix[PREFIX_BYTES];
  g_autofree uint8_t *payload = NULL;
  uint32_t length;
  size_t used;

  if (!read_bytes (fd, prefix, sizeof prefix))
    return NULL;
  (void)msg_parse_length (prefix, sizeof prefix, false, &length, &used);
  payload = g_malloc (length);
  if (!read_bytes (fd, payload, length))
    return NULL;
  return msg_decode (payload, length, NULL, NULL);
}

/* Answers requests for parts until the receiver disconnects.  */
static void
serve_parts (int fd, unsigned accounts)
{
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  size_t largest = 0;
  unsigned frames = 0;
  double cpu = 0;
  long before;

  fill_store (store, accounts);
  /* The sender's first list is newer than the last change that the receiver
     has.  */
  store->revision = accounts + 1;
  store->deletions_known_from = accounts + 1;
  reset_peak ();
  before = read_status_kb ("VmRSS:");
  for (;;)
    {
      g_autoptr (msg_t) ask = read_frame (fd);
      msg_t answer = { .kind = MSG_CONFIG_PART };
      double start = (double)clock ();

      if (ask == NULL)
        break;
      store_make_part (store, ROLE_ROUTER, &ask->u.config_ask, 2000,
                       &answer.u.config_part);
      if (!write_frame (fd, &answer, &largest))
        fprintf (stderr, "bench-state: the part was not sent\n");
      store_part_clear (&answer.u.config_part);
      cpu = MAX (cpu, ((double)clock () - start) * 1000 / CLOCKS_PER_SEC);
      frames++;
    }
  printf ("  sender:   %u parts, largest %.0f KB, longest turn %.1f ms of"
          " processor, MB before %.1f, most %.1f\n",
          frames - 1, (double)largest / 1e3, cpu, (double)before / 1e3,
          (double)read_status_kb ("VmHWM:") / 1e3);
}

/* Requests one part and applies it.  */
static bool
request_part (int fd, store_t *store, uint64_t have)
{
  msg_t ask = { .kind = MSG_CONFIG_ASK };
  g_autoptr (msg_t) part = NULL;
  size_t largest = 0;

  store_make_ask (store, &ask.u.config_ask);
  ask.u.config_ask.have = have;
  if (!write_frame (fd, &ask, &largest))
    return false;
  part = read_frame (fd);
  if (part == NULL)
    return false;
  store_apply_part (store, &part->u.config_part, 2000);
  return true;
}

static void
receive_all (int fd, bool is_full, unsigned accounts)
{
  g_autoptr (store_t) store = store_new (NULL, NULL, NULL);
  unsigned asks = 0;
  cfd_time_t start;
  long before;

  if (is_full)
    fill_store (store, accounts);
  /* Waits until the sender is ready.  */
  (void)request_part (fd, store, accounts + 1);
  reset_peak ();
  before = read_status_kb ("VmRSS:");
  start = clock_now ();
  while (store->revision <= accounts && asks++ < MAX_ASKS
         && request_part (fd, store, store->revision))
    ;
  printf ("  receiver: revision %u, %u accounts, %ld ms, MB before %.1f, most"
          " %.1f, after %.1f\n",
          (unsigned)store->revision,
          g_hash_table_size (store->entries[REC_ACCOUNT]),
          (long)(clock_now () - start), (double)before / 1e3,
          (double)read_status_kb ("VmHWM:") / 1e3,
          (double)read_status_kb ("VmRSS:") / 1e3);
}

static void
measure_row (bool is_full, unsigned accounts)
{
  int fds[2];
  pid_t sender;

  printf ("%u accounts, a receiver that %s:\n", accounts,
          is_full ? "holds them and is behind" : "starts empty");
  fflush (stdout);
  if (socketpair (AF_UNIX, SOCK_STREAM, 0, fds) != 0)
    return;
  sender = fork ();
  alarm (TIMEOUT_S);
  close (fds[sender == 0 ? 1 : 0]);
  if (sender == 0)
    serve_parts (fds[0], accounts);
  else
    receive_all (fds[1], is_full, accounts);
  fflush (stdout);
  if (sender == 0)
    _exit (0);
  close (fds[1]);
  waitpid (sender, NULL, 0);
}

int
main (int argc, char **argv)
{
  unsigned accounts
      = argc > 1 ? (unsigned)g_ascii_strtoull (argv[1], NULL, 10) : ACCOUNTS;

  log_setup ("bench", LOG_ERROR, false);
  /* Each row runs in its own processes.  */
  for (int is_full = 0; is_full <= 1; is_full++)
    {
      pid_t row = fork ();

      if (row == 0)
        {
          measure_row (is_full == 1, accounts);
          _exit (0);
        }
      waitpid (row, NULL, 0);
    }
  return 0;
}
