/* Benchmark of the links between processes, for docs/CAPACITY.md: processor
   time for each frame with its system calls, alone and in bursts, and the
   traffic, time and memory of idle held links.  Both ends run in this process,
   on loopback, so a real process has about half of the time and memory.

     meson setup build-release --buildtype=release
     build-release/tests/bench-link  */

#include "base/log.h"
#include "wire/peer.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define AGENT_COUNT 200u
#define BURST_FRAMES 50u
#define TOTAL_FRAMES 50000u
#define IDLE_DURATION_S 5.0
#define ROUTER "r1"
#define SECRET "the secret of the bench"

typedef struct
{
  struct ev_loop *loop;
  peer_hub_t *router;
  peer_hub_t *agents[AGENT_COUNT];
  char address[32];
  unsigned up;
  unsigned received;
  unsigned expected;
} bench_t;

static double
read_cpu_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * 1e6 + t.tv_nsec / 1e3;
}

static double
read_resident_kb (void)
{
  g_autofree char *text = NULL;
  long pages = 0;

  if (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL)
      && sscanf (text, "%*d %ld", &pages) == 1)
    return pages * (sysconf (_SC_PAGESIZE) / 1024.0);
  return 0;
}

static void
on_router_up (void *user, const peer_id_t *peer, cfd_time_t now)
{
  bench_t *bench = user;

  if (++bench->up == bench->expected)
    ev_break (bench->loop, EVBREAK_ALL);
}

static void
on_router_message (void *user, const peer_id_t *peer, const msg_t *message,
                   cfd_time_t now)
{
  bench_t *bench = user;

  if (++bench->received == bench->expected)
    ev_break (bench->loop, EVBREAK_ALL);
}

static void
on_agent_message (void *user, const peer_id_t *peer, const msg_t *message,
                  cfd_time_t now)
{
  bench_t *bench = user;
  msg_t ack = { .kind = MSG_ACK, .u.ack = { "7f3a9c51d2e84b06", 65000, 0 } };

  (void)peer_hub_send (bench->agents[0], ROUTER, &ack);
}

static peer_hub_t *
start_hub (bench_t *bench, role_t role, const char *name, unsigned port)
{
  static const peer_events_t router_events
      = { .up = on_router_up, .message = on_router_message };
  static const peer_events_t agent_events = { .message = on_agent_message };
  g_autoptr (GError) error = NULL;
  peer_hub_t *hub;

  g_snprintf (bench->address, sizeof bench->address, "127.78.%u.%u:%u",
              (unsigned)getpid () >> 8 & 255, (unsigned)getpid () & 255, port);
  hub = peer_hub_new (bench->loop,
                      &(peer_hub_options_t){ role, name, "zone-a", port,
                                             bench->address, SECRET },
                      NULL,
                      role == ROLE_ROUTER ? &router_events : &agent_events,
                      bench, &error);
  if (hub == NULL)
    g_error ("%s", error->message);
  return hub;
}

static void
connect_agents (bench_t *bench)
{
  double memory;

  for (unsigned i = 0; i < AGENT_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      bench->agents[i] = start_hub (bench, ROLE_AGENT, name, 8000 + i);
      peer_hub_set_address (bench->router, name, bench->address);
    }
  memory = read_resident_kb ();
  for (unsigned i = 0; i < AGENT_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);

      peer_hub_hold (bench->router, name);
    }
  bench->expected = AGENT_COUNT;
  ev_run (bench->loop, 0);
  printf ("%u links, both ends: %.1f KB a link\n", AGENT_COUNT,
          (read_resident_kb () - memory) / AGENT_COUNT);
}

/* Sends TOTAL_FRAMES in bursts; the agent answers each frame with one
   frame.  */
static void
measure_exchange (bench_t *bench, unsigned burst)
{
  msg_t cancel = { .kind = MSG_CANCEL, .u.cancel = { "7f3a9c51d2e84b06" } };
  double start = read_cpu_us ();
  int64_t wall = clock_now_us ();

  for (unsigned sent = 0; sent < TOTAL_FRAMES; sent += burst)
    {
      bench->received = 0;
      bench->expected = burst;
      for (unsigned i = 0; i < burst; i++)
        (void)peer_hub_send (bench->router, "agent-0", &cancel);
      ev_run (bench->loop, 0);
    }
  printf ("bursts of %2u: %.2f us of CPU a frame, both ends; round trip %.1f "
          "us\n",
          burst, (read_cpu_us () - start) / TOTAL_FRAMES / 2,
          (double)(clock_now_us () - wall) / TOTAL_FRAMES * burst);
}

static void
on_idle_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
measure_idle (bench_t *bench)
{
  peer_counters_t before;
  peer_counters_t after;
  double start = read_cpu_us ();
  ev_timer end;

  peer_hub_get_counters (bench->router, &before);
  ev_timer_init (&end, on_idle_end, IDLE_DURATION_S, 0);
  ev_timer_start (bench->loop, &end);
  ev_run (bench->loop, 0);
  peer_hub_get_counters (bench->router, &after);
  printf (
      "held without work: %.1f B/s out, %.1f B/s in, %.2f us/s of CPU a "
      "link, both ends\n",
      (peer_sum_control_bytes (after.out)
       - peer_sum_control_bytes (before.out))
          / IDLE_DURATION_S / AGENT_COUNT,
      (peer_sum_control_bytes (after.in) - peer_sum_control_bytes (before.in))
          / IDLE_DURATION_S / AGENT_COUNT,
      (read_cpu_us () - start) / IDLE_DURATION_S / AGENT_COUNT);
}

int
main (void)
{
  bench_t bench = { .loop = ev_loop_new (EVFLAG_AUTO) };

  log_setup ("bench", LOG_WARN, false);
  bench.router = start_hub (&bench, ROLE_ROUTER, ROUTER, 7999);
  connect_agents (&bench);
  measure_exchange (&bench, 1);
  measure_exchange (&bench, BURST_FRAMES);
  measure_idle (&bench);
  peer_hub_free (bench.router);
  for (unsigned i = 0; i < AGENT_COUNT; i++)
    peer_hub_free (bench.agents[i]);
  ev_loop_destroy (bench.loop);
  return 0;
}
