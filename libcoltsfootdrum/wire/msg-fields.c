#include "wire/msg-fields.h"

#define FIELD(type_, struct_, member_, ...)                                   \
  {                                                                           \
    .name = #member_, .type = (type_), .offset = offsetof (struct_, member_), \
    __VA_ARGS__                                                               \
  }
#define U32(s, m) FIELD (FIELD_U32, s, m)
#define U64(s, m) FIELD (FIELD_U64, s, m)
#define INCARNATION(s, m) FIELD (FIELD_INCARNATION, s, m)
#define REAL(s, m) FIELD (FIELD_REAL, s, m)
#define TOKENS(s, m) FIELD (FIELD_TOKENS, s, m)
#define LIMIT(s, m) FIELD (FIELD_LIMIT, s, m)
#define BOOL(s, m) FIELD (FIELD_BOOL, s, m)
#define LATE_BOOL(s, m) FIELD (FIELD_BOOL, s, m, .is_late = true)
#define LATE_U64(s, m) FIELD (FIELD_U64, s, m, .is_late = true)
#define LATE_ROW(s, m, row)                                                   \
  FIELD (FIELD_ROW, s, m, .shape = &(row), .is_late = true)
#define CHOICE(s, m, last) FIELD (FIELD_CHOICE, s, m, .max = (last))
#define NAME(s, m) FIELD (FIELD_NAME, s, m, .max = MSG_NAME_MAX)
#define TEXT(s, m) FIELD (FIELD_STRING, s, m, .max = MSG_TEXT_MAX)
#define BYTES(s, m, most) FIELD (FIELD_BYTES, s, m, .max = (most))
#define STRINGS(s, m, c, most, length)                                        \
  FIELD (FIELD_STRINGS, s, m, .count_offset = offsetof (s, c),                \
         .count_max = (most), .max = (length))
#define ROW(s, m, row) FIELD (FIELD_ROW, s, m, .shape = &(row))
#define ROWS(s, m, row)                                                       \
  FIELD (FIELD_ROWS, s, m, .count_offset = offsetof (s, count),               \
         .count_max = MSG_ENTRIES_MAX, .shape = &(row))
#define SHAPE(variable, struct_, name_)                                       \
  static const msg_shape_t variable                                           \
      = { .name = (name_),                                                    \
          .size = sizeof (struct_),                                           \
          .count = G_N_ELEMENTS (variable##_fields),                          \
          .fields = variable##_fields }

static const msg_field_t hello_fields[] = {
  U32 (msg_hello_t, protocol),
  CHOICE (msg_hello_t, role, ROLE_CTL),
  NAME (msg_hello_t, instance),
  NAME (msg_hello_t, zone),
  U64 (msg_hello_t, incarnation),
  BYTES (msg_hello_t, nonce, MSG_NONCE_SIZE),
  LATE_BOOL (msg_hello_t, short_frames),
};
SHAPE (hello, msg_hello_t, "HELLO");

static const msg_field_t proof_fields[] = {
  BYTES (msg_proof_t, mac, 64),
};
SHAPE (proof, msg_proof_t, "PROOF");

static const msg_shape_t ping = { .name = "PING" };
static const msg_shape_t pong = { .name = "PONG" };

static const msg_field_t waiting_fields[] = {
  NAME (msg_waiting_t, account),        U32 (msg_waiting_t, count),
  U32 (msg_waiting_t, class_rank),      U32 (msg_waiting_t, oldest_ms),
  TOKENS (msg_waiting_t, virtual_time),
};
SHAPE (waiting, msg_waiting_t, "waiting");

static const msg_field_t announce_fields[] = {
  NAME (msg_announce_t, service),
  BOOL (msg_announce_t, full),
  U32 (msg_announce_t, life_ms),
  ROWS (msg_announce_t, entries, waiting),
};
SHAPE (announce, msg_announce_t, "ANNOUNCE");

static const msg_field_t grant_fields[] = {
  U64 (msg_grant_t, grant),      INCARNATION (msg_grant_t, incarnation),
  NAME (msg_grant_t, service),   NAME (msg_grant_t, account),
  LIMIT (msg_grant_t, limit_vt), LIMIT (msg_grant_t, floor),
};
SHAPE (grant, msg_grant_t, "GRANT");

static const msg_field_t assign_fields[] = {
  U64 (msg_assign_t, grant),
  INCARNATION (msg_assign_t, incarnation),
  NAME (msg_assign_t, request),
  NAME (msg_assign_t, account),
  NAME (msg_assign_t, service),
  NAME (msg_assign_t, method),
  TEXT (msg_assign_t, path),
  STRINGS (msg_assign_t, headers, header_count, MSG_HEADERS_MAX, MSG_TEXT_MAX),
  BYTES (msg_assign_t, body, MSG_BODY_MAX),
  REAL (msg_assign_t, cost_hint),
  BOOL (msg_assign_t, idempotent),
  ROW (msg_assign_t, left, waiting),
};
SHAPE (assign, msg_assign_t, "ASSIGN");

static const msg_field_t decline_fields[] = {
  U64 (msg_decline_t, grant),
  CHOICE (msg_decline_t, reason, DECLINE_DRAINING),
  NAME (msg_decline_t, service),
  ROW (msg_decline_t, left, waiting),
};
SHAPE (decline, msg_decline_t, "DECLINE");

static const msg_field_t not_started_fields[] = {
  NAME (msg_not_started_t, request),
  TEXT (msg_not_started_t, reason),
};
SHAPE (not_started, msg_not_started_t, "NOT_STARTED");

static const msg_field_t head_fields[] = {
  NAME (msg_head_t, request),
  U32 (msg_head_t, status),
  STRINGS (msg_head_t, headers, header_count, MSG_HEADERS_MAX, MSG_TEXT_MAX),
};
SHAPE (head, msg_head_t, "HEAD");

static const msg_field_t data_fields[] = {
  NAME (msg_data_t, request),
  U64 (msg_data_t, offset),
  U32 (msg_data_t, tokens),
  BYTES (msg_data_t, bytes, MSG_DATA_MAX),
};
SHAPE (data, msg_data_t, "DATA");

static const msg_field_t end_fields[] = {
  NAME (msg_end_t, request),      CHOICE (msg_end_t, outcome, OUTCOME_UNKNOWN),
  U64 (msg_end_t, length),        U32 (msg_end_t, prompt_tokens),
  U32 (msg_end_t, output_tokens), TEXT (msg_end_t, detail),
};
SHAPE (end, msg_end_t, "END");

static const msg_field_t ack_fields[] = {
  NAME (msg_ack_t, request),
  U64 (msg_ack_t, offset),
  BOOL (msg_ack_t, done),
};
SHAPE (ack, msg_ack_t, "ACK");

static const msg_field_t resume_fields[] = {
  NAME (msg_resume_t, request),
  U64 (msg_resume_t, offset),
  BOOL (msg_resume_t, head),
};
SHAPE (resume, msg_resume_t, "RESUME");

static const msg_field_t cancel_fields[] = {
  NAME (msg_cancel_t, request),
};
SHAPE (cancel, msg_cancel_t, "CANCEL");

static const msg_field_t report_entry_fields[] = {
  NAME (msg_report_entry_t, account), NAME (msg_report_entry_t, service),
  U64 (msg_report_entry_t, sequence), TOKENS (msg_report_entry_t, charged),
  TOKENS (msg_report_entry_t, acked), TOKENS (msg_report_entry_t, last_vt),
  LIMIT (msg_report_entry_t, floor),  BOOL (msg_report_entry_t, backlogged),
};
SHAPE (report_entry, msg_report_entry_t, "report entry");

static const msg_field_t report_fields[] = {
  ROWS (msg_report_t, entries, report_entry),
};
SHAPE (report, msg_report_t, "REPORT");

static const msg_field_t share_entry_fields[] = {
  NAME (msg_share_entry_t, account),
  NAME (msg_share_entry_t, service),
  U64 (msg_share_entry_t, sequence),
  TOKENS (msg_share_entry_t, charged),
  TOKENS (msg_share_entry_t, virtual_time),
};
SHAPE (share_entry, msg_share_entry_t, "share entry");

static const msg_field_t share_fields[] = {
  ROWS (msg_share_t, entries, share_entry),
};
SHAPE (share, msg_share_t, "SHARE");

static const msg_field_t cursor_fields[] = {
  U32 (msg_cursor_t, kind),
  TEXT (msg_cursor_t, name),
};
SHAPE (cursor, msg_cursor_t, "cursor");

static const msg_field_t config_ask_fields[] = {
  U64 (msg_config_ask_t, have),
  LATE_BOOL (msg_config_ask_t, pieces),
  LATE_U64 (msg_config_ask_t, state),
  LATE_ROW (msg_config_ask_t, after, cursor),
};
SHAPE (config_ask, msg_config_ask_t, "CONFIG_ASK");

static const msg_field_t config_part_fields[] = {
  U64 (msg_config_part_t, from),
  U64 (msg_config_part_t, up_to),
  U32 (msg_config_part_t, age_ms),
  STRINGS (msg_config_part_t, records, count, MSG_RECORDS_MAX, MSG_RECORD_MAX),
  LATE_U64 (msg_config_part_t, state),
  LATE_ROW (msg_config_part_t, after, cursor),
  LATE_ROW (msg_config_part_t, next, cursor),
};
SHAPE (config_part, msg_config_part_t, "CONFIG_PART");

static const msg_field_t load_fields[] = {
  NAME (msg_load_t, service),
  U32 (msg_load_t, busy),
  U32 (msg_load_t, slots),
  U32 (msg_load_t, queued),
};
SHAPE (load, msg_load_t, "LOAD");

static const msg_shape_t *const shapes[MSG_KIND_COUNT] = {
  [MSG_HELLO] = &hello,
  [MSG_PROOF] = &proof,
  [MSG_PING] = &ping,
  [MSG_PONG] = &pong,
  [MSG_ANNOUNCE] = &announce,
  [MSG_GRANT] = &grant,
  [MSG_ASSIGN] = &assign,
  [MSG_DECLINE] = &decline,
  [MSG_NOT_STARTED] = &not_started,
  [MSG_HEAD] = &head,
  [MSG_DATA] = &data,
  [MSG_END] = &end,
  [MSG_ACK] = &ack,
  [MSG_RESUME] = &resume,
  [MSG_CANCEL] = &cancel,
  [MSG_REPORT] = &report,
  [MSG_SHARE] = &share,
  [MSG_CONFIG_ASK] = &config_ask,
  [MSG_CONFIG_PART] = &config_part,
  [MSG_LOAD] = &load,
};

const msg_shape_t *
msg_shape (unsigned kind)
{
  return kind < MSG_KIND_COUNT ? shapes[kind] : NULL;
}

const char *
msg_kind_name (msg_kind_t kind)
{
  const msg_shape_t *shape = msg_shape (kind);

  return shape != NULL ? shape->name : "?";
}

bool
msg_is_control (msg_kind_t kind)
{
  return kind != MSG_ASSIGN && kind != MSG_HEAD && kind != MSG_DATA;
}
