/* How the cost of deciding grows: one size at a time is varied around a middle
   point.  */

#include "measure-jobs.h"
#include <stdio.h>

typedef struct
{
  const char *varies;
  int routers;
  int models;
  int accounts;
  int idle;
} point_t;

static const point_t points[]
    = { { "routers", 4, 12, 16, 0 },     { "routers", 8, 12, 16, 0 },
        { "routers", 16, 12, 16, 0 },    { "routers", 32, 12, 16, 0 },
        { "endpoints", 8, 6, 16, 0 },    { "endpoints", 8, 24, 16, 0 },
        { "endpoints", 8, 48, 16, 0 },   { "accounts", 8, 12, 16, 500 },
        { "accounts", 8, 12, 16, 1000 }, { "accounts", 8, 12, 16, 2000 },
        { "backlogged", 8, 12, 32, 0 },  { "backlogged", 8, 12, 64, 0 },
        { "backlogged", 8, 12, 128, 0 } };

/* Fleets of the scale run are large: two side by side.  */
#define AT_ONCE 2

bool
measure_run_scale (const measure_options_t *options)
{
  job_t jobs[G_N_ELEMENTS (points)] = { 0 };

  for (unsigned i = 0; i < G_N_ELEMENTS (points); i++)
    {
      jobs[i].options = *options;
      jobs[i].options.policy = (char *)"fleet";
      jobs[i].options.routers = points[i].routers;
      jobs[i].options.models = points[i].models;
      jobs[i].options.accounts = points[i].accounts;
      jobs[i].options.idle = points[i].idle;
    }
  unsigned good = jobs_run_all (jobs, G_N_ELEMENTS (points), AT_ONCE);
  printf ("%-10s %7s %9s %8s %5s | %9s %9s %8s %8s %9s %9s %9s %8s %6s\n",
          "varies", "routers", "endpoints", "accounts", "idle", "B/node/s",
          "B/request", "router%", "agent%", "router MB", "agent MB", "calls/s",
          "tokens/s", "util");
  for (unsigned i = 0; i < G_N_ELEMENTS (points); i++)
    {
      const double *figures = jobs[i].figures;
      printf (
          "%-10s %7d %9d %8d %5d | %9.0f %9.0f %8.2f %8.2f %9.1f %9.1f %9.1f "
          "%8.0f %6.3f\n",
          points[i].varies, points[i].routers, points[i].models,
          points[i].accounts, points[i].idle, figures[FIGURE_CONTROL_BYTES],
          figures[FIGURE_CONTROL_REQUEST], figures[FIGURE_CONTROL_CPU],
          figures[FIGURE_AGENT_CPU], figures[FIGURE_ROUTER_RESIDENT] / 1e6,
          figures[FIGURE_AGENT_RESIDENT] / 1e6, figures[FIGURE_PLATFORM_CALLS],
          figures[FIGURE_TOKENS], figures[FIGURE_UTILISATION]);
    }
  return good == G_N_ELEMENTS (points);
}
