#include "wire/msg-fields.h"

#define FIELD(type_, struct_, member_, ...)                                   \
  {                                                                           \
    .name = #member_, .type = (type_), .offset = offsetof (struct_, member_), \
    __VA_ARGS__                                                               \
  }
#define U32(s, m) FIELD (FIELD_U32, s, m)
#define U64(s, m) FIELD (FIELD_U64, s, m)
#define INCARNATION(s, m) FIELD (FIELD_INCARNATION, s, m)
#define DOUBLE(s, m) FIELD (FIELD_DOUBLE, s, m)
#define TOKENS(s, m) FIELD (FIELD_TOKENS, s, m)
#define TOKEN_LIMIT(s, m) FIELD (FIELD_TOKEN_LIMIT, s, m)
#define BOOL(s, m) FIELD (FIELD_BOOL, s, m)
#define OPTIONAL_BOOL(s, m) FIELD (FIELD_BOOL, s, m, .is_optional = true)
#define OPTIONAL_U64(s, m) FIELD (FIELD_U64, s, m, .is_optional = true)
#define OPTIONAL_STRUCT(s, m, struct_layout)                                  \
  FIELD (FIELD_STRUCT, s, m, .layout = &(struct_layout), .is_optional = true)
#define ENUM(s, m, last_value) FIELD (FIELD_ENUM, s, m, .max = (last_value))
#define NAME(s, m) FIELD (FIELD_NAME, s, m, .max = MSG_NAME_MAX)
#define TEXT(s, m) FIELD (FIELD_STRING, s, m, .max = MSG_TEXT_MAX)
#define BYTES(s, m, limit) FIELD (FIELD_BYTES, s, m, .max = (limit))
#define STRINGS(s, m, c, limit, length)                                       \
  FIELD (FIELD_STRINGS, s, m, .count_offset = offsetof (s, c),                \
         .max_count = (limit), .max = (length))
#define STRUCT(s, m, struct_layout)                                           \
  FIELD (FIELD_STRUCT, s, m, .layout = &(struct_layout))
#define STRUCTS(s, m, struct_layout)                                          \
  FIELD (FIELD_STRUCTS, s, m, .count_offset = offsetof (s, count),            \
         .max_count = MSG_ENTRIES_MAX, .layout = &(struct_layout))
#define LAYOUT(variable, struct_, name_)                                      \
  static const msg_layout_t variable                                          \
      = { .name = (name_),                                                    \
          .size = sizeof (struct_),                                           \
          .count = G_N_ELEMENTS (variable##_fields),                          \
          .fields = variable##_fields }

static const msg_field_t hello_fields[] = {
  U32 (msg_hello_t, protocol),
  ENUM (msg_hello_t, role, ROLE_CTL),
  NAME (msg_hello_t, instance),
  NAME (msg_hello_t, zone),
  U64 (msg_hello_t, incarnation),
  BYTES (msg_hello_t, nonce, MSG_NONCE_SIZE),
  OPTIONAL_BOOL (msg_hello_t, short_frames),
};
LAYOUT (hello, msg_hello_t, "HELLO");

static const msg_field_t proof_fields[] = {
  BYTES (msg_proof_t, mac, 64),
};
LAYOUT (proof, msg_proof_t, "PROOF");

static const msg_layout_t ping = { .name = "PING" };
static const msg_layout_t pong = { .name = "PONG" };

static const msg_field_t waiting_fields[] = {
  NAME (msg_waiting_t, account),        U32 (msg_waiting_t, count),
  U32 (msg_waiting_t, class_rank),      U32 (msg_waiting_t, oldest_ms),
  TOKENS (msg_waiting_t, virtual_time),
};
LAYOUT (waiting, msg_waiting_t, "waiting");

static const msg_field_t announce_fields[] = {
  NAME (msg_announce_t, service),
  BOOL (msg_announce_t, full),
  U32 (msg_announce_t, life_ms),
  STRUCTS (msg_announce_t, entries, waiting),
};
LAYOUT (announce, msg_announce_t, "ANNOUNCE");

static const msg_field_t grant_fields[] = {
  U64 (msg_grant_t, grant),
  INCARNATION (msg_grant_t, incarnation),
  NAME (msg_grant_t, service),
  NAME (msg_grant_t, account),
  TOKEN_LIMIT (msg_grant_t, limit_vt),
  TOKEN_LIMIT (msg_grant_t, floor),
};
LAYOUT (grant, msg_grant_t, "GRANT");

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
  DOUBLE (msg_assign_t, cost_hint),
  BOOL (msg_assign_t, idempotent),
  STRUCT (msg_assign_t, left, waiting),
};
LAYOUT (assign, msg_assign_t, "ASSIGN");

static const msg_field_t decline_fields[] = {
  U64 (msg_decline_t, grant),
  ENUM (msg_decline_t, reason, DECLINE_DRAINING),
  NAME (msg_decline_t, service),
  STRUCT (msg_decline_t, left, waiting),
};
LAYOUT (decline, msg_decline_t, "DECLINE");

static const msg_field_t not_started_fields[] = {
  NAME (msg_not_started_t, request),
  TEXT (msg_not_started_t, reason),
};
LAYOUT (not_started, msg_not_started_t, "NOT_STARTED");

static const msg_field_t head_fields[] = {
  NAME (msg_head_t, request),
  U32 (msg_head_t, status),
  STRINGS (msg_head_t, headers, header_count, MSG_HEADERS_MAX, MSG_TEXT_MAX),
};
LAYOUT (head, msg_head_t, "HEAD");

static const msg_field_t data_fields[] = {
  NAME (msg_data_t, request),
  U64 (msg_data_t, offset),
  U32 (msg_data_t, tokens),
  BYTES (msg_data_t, bytes, MSG_DATA_MAX),
};
LAYOUT (data, msg_data_t, "DATA");

static const msg_field_t end_fields[] = {
  NAME (msg_end_t, request),      ENUM (msg_end_t, outcome, OUTCOME_UNKNOWN),
  U64 (msg_end_t, length),        U32 (msg_end_t, prompt_tokens),
  U32 (msg_end_t, output_tokens), TEXT (msg_end_t, detail),
};
LAYOUT (end, msg_end_t, "END");

static const msg_field_t ack_fields[] = {
  NAME (msg_ack_t, request),
  U64 (msg_ack_t, offset),
  BOOL (msg_ack_t, done),
};
LAYOUT (ack, msg_ack_t, "ACK");

static const msg_field_t resume_fields[] = {
  NAME (msg_resume_t, request),
  U64 (msg_resume_t, offset),
  BOOL (msg_resume_t, head),
};
LAYOUT (resume, msg_resume_t, "RESUME");

static const msg_field_t cancel_fields[] = {
  NAME (msg_cancel_t, request),
};
LAYOUT (cancel, msg_cancel_t, "CANCEL");

static const msg_field_t report_entry_fields[] = {
  NAME (msg_report_entry_t, account),
  NAME (msg_report_entry_t, service),
  U64 (msg_report_entry_t, sequence),
  TOKENS (msg_report_entry_t, charged),
  TOKENS (msg_report_entry_t, acked),
  TOKENS (msg_report_entry_t, last_vt),
  TOKEN_LIMIT (msg_report_entry_t, floor),
  BOOL (msg_report_entry_t, backlogged),
};
LAYOUT (report_entry, msg_report_entry_t, "report entry");

static const msg_field_t report_fields[] = {
  STRUCTS (msg_report_t, entries, report_entry),
};
LAYOUT (report, msg_report_t, "REPORT");

static const msg_field_t share_entry_fields[] = {
  NAME (msg_share_entry_t, account),
  NAME (msg_share_entry_t, service),
  U64 (msg_share_entry_t, sequence),
  TOKENS (msg_share_entry_t, charged),
  TOKENS (msg_share_entry_t, virtual_time),
};
LAYOUT (share_entry, msg_share_entry_t, "share entry");

static const msg_field_t share_fields[] = {
  STRUCTS (msg_share_t, entries, share_entry),
};
LAYOUT (share, msg_share_t, "SHARE");

static const msg_field_t cursor_fields[] = {
  U32 (msg_cursor_t, kind),
  TEXT (msg_cursor_t, name),
};
LAYOUT (cursor, msg_cursor_t, "cursor");

static const msg_field_t config_ask_fields[] = {
  U64 (msg_config_ask_t, have),
  OPTIONAL_BOOL (msg_config_ask_t, pieces),
  OPTIONAL_U64 (msg_config_ask_t, state),
  OPTIONAL_STRUCT (msg_config_ask_t, after, cursor),
};
LAYOUT (config_ask, msg_config_ask_t, "CONFIG_ASK");

static const msg_field_t config_part_fields[] = {
  U64 (msg_config_part_t, from),
  U64 (msg_config_part_t, up_to),
  U32 (msg_config_part_t, age_ms),
  STRINGS (msg_config_part_t, records, count, MSG_RECORDS_MAX, MSG_RECORD_MAX),
  OPTIONAL_U64 (msg_config_part_t, state),
  OPTIONAL_STRUCT (msg_config_part_t, after, cursor),
  OPTIONAL_STRUCT (msg_config_part_t, next, cursor),
};
LAYOUT (config_part, msg_config_part_t, "CONFIG_PART");

static const msg_field_t load_fields[] = {
  NAME (msg_load_t, service),
  U32 (msg_load_t, busy),
  U32 (msg_load_t, slots),
  U32 (msg_load_t, queued),
};
LAYOUT (load, msg_load_t, "LOAD");

static const msg_layout_t *const layouts[MSG_KIND_COUNT] = {
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

const msg_layout_t *
msg_get_layout (unsigned kind)
{
  return kind < MSG_KIND_COUNT ? layouts[kind] : NULL;
}

const char *
msg_kind_name (msg_kind_t kind)
{
  const msg_layout_t *layout = msg_get_layout (kind);

  return layout != NULL ? layout->name : "?";
}

bool
msg_is_control (msg_kind_t kind)
{
  return kind != MSG_ASSIGN && kind != MSG_HEAD && kind != MSG_DATA;
}
