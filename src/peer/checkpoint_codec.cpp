#include "peer/wire.hpp"

namespace cyclamen::peer::detail {

namespace {

void write_key(const api::checkpoint_key& value, wire::checkpoint_key& out)
{
    out.set_account(value.account.str());
    out.set_key(value.key.str());
}

api::checkpoint_key read_key(const wire::checkpoint_key& in)
{
    return api::checkpoint_key{core::account_name{in.account()}, core::request_key{in.key()}};
}

template <class Wire>
void write_tokens(const std::vector<std::string>& tokens, Wire& out)
{
    for (const std::string& token : tokens) {
        out.add_tokens(token);
    }
}

template <class Wire>
std::vector<std::string> read_tokens(const Wire& in)
{
    return {in.tokens().begin(), in.tokens().end()};
}

void write_state(const api::checkpoint& value, wire::checkpoint& out)
{
    out.set_version(value.version.str());
    out.set_request_hash(value.request_hash);
    for (const api::lineage_part& part : value.lineage) {
        wire::lineage_part& written = *out.add_lineage();
        written.set_branch(part.branch);
        written.set_first(part.first);
    }
    write_tokens(value.tokens, out);
    out.set_finished(value.finished);
}

api::checkpoint read_state(const wire::checkpoint& in)
{
    std::vector<api::lineage_part> lineage;
    lineage.reserve(static_cast<std::size_t>(in.lineage_size()));
    for (const wire::lineage_part& part : in.lineage()) {
        lineage.push_back(api::lineage_part{part.branch(), part.first()});
    }
    return api::checkpoint{core::version_name{in.version()}, in.request_hash(), std::move(lineage),
                           read_tokens(in), in.finished()};
}

api::checkpoint_epoch read_epoch(std::uint64_t in)
{
    return api::checkpoint_epoch{in};
}

/// Writes the key and epoch, which are all that some payloads contain.
template <class Value, class Wire>
void write_key_and_epoch(const Value& value, Wire& out)
{
    write_key(value.key, *out.mutable_key());
    out.set_epoch(value.epoch.value());
}

} // namespace

void write(const api::checkpoint_open& value, wire::envelope& out)
{
    wire::checkpoint_open& open = *out.mutable_checkpoint_open();
    write_key_and_epoch(value, open);
    write_state(value.state, *open.mutable_state());
}

void write(const api::checkpoint_append& value, wire::envelope& out)
{
    for (const api::checkpoint_run& run : value.runs) {
        wire::checkpoint_run& written = *out.mutable_checkpoint_append()->add_runs();
        write_key_and_epoch(run, written);
        written.set_first(run.first);
        write_tokens(run.tokens, written);
        written.set_finished(run.finished);
    }
}

void write(const api::checkpoint_ack& value, wire::envelope& out)
{
    for (const api::checkpoint_held& held : value.held) {
        wire::checkpoint_held& written = *out.mutable_checkpoint_ack()->add_held();
        write_key_and_epoch(held, written);
        written.set_tokens(held.tokens);
    }
}

void write(const api::checkpoint_superseded& value, wire::envelope& out)
{
    write_key_and_epoch(value, *out.mutable_checkpoint_superseded());
}

void write(const api::checkpoint_unknown& value, wire::envelope& out)
{
    write_key_and_epoch(value, *out.mutable_checkpoint_unknown());
}

void write(const api::checkpoint_fetch& value, wire::envelope& out)
{
    out.mutable_checkpoint_fetch()->set_request(value.request);
    write_key(value.key, *out.mutable_checkpoint_fetch()->mutable_key());
}

void write(const api::checkpoint_fetched& value, wire::envelope& out)
{
    wire::checkpoint_fetched& fetched = *out.mutable_checkpoint_fetched();
    write_key_and_epoch(value, fetched);
    fetched.set_request(value.request);
    fetched.set_owner(value.owner.str());
    fetched.set_taken(value.taken);
    fetched.set_confirmed(value.confirmed);
    if (value.state.has_value()) {
        write_state(*value.state, *fetched.mutable_state());
    }
}

void write(const api::quarantine_notice& value, wire::envelope& out)
{
    out.mutable_quarantine_notice()->set_fingerprint(value.fingerprint);
    out.mutable_quarantine_notice()->set_lasts_ms(value.lasts_ms);
}

api::checkpoint_open read(const wire::checkpoint_open& in)
{
    return api::checkpoint_open{read_key(in.key()), read_epoch(in.epoch()), read_state(in.state())};
}

api::checkpoint_append read(const wire::checkpoint_append& in)
{
    std::vector<api::checkpoint_run> runs;
    runs.reserve(static_cast<std::size_t>(in.runs_size()));
    for (const wire::checkpoint_run& run : in.runs()) {
        runs.push_back(api::checkpoint_run{read_key(run.key()), read_epoch(run.epoch()),
                                           run.first(), read_tokens(run), run.finished()});
    }
    return api::checkpoint_append{std::move(runs)};
}

api::checkpoint_ack read(const wire::checkpoint_ack& in)
{
    std::vector<api::checkpoint_held> held;
    held.reserve(static_cast<std::size_t>(in.held_size()));
    for (const wire::checkpoint_held& entry : in.held()) {
        held.push_back(
            api::checkpoint_held{read_key(entry.key()), read_epoch(entry.epoch()), entry.tokens()});
    }
    return api::checkpoint_ack{std::move(held)};
}

api::checkpoint_superseded read(const wire::checkpoint_superseded& in)
{
    return api::checkpoint_superseded{read_key(in.key()), read_epoch(in.epoch())};
}

api::checkpoint_unknown read(const wire::checkpoint_unknown& in)
{
    return api::checkpoint_unknown{read_key(in.key()), read_epoch(in.epoch())};
}

api::checkpoint_fetch read(const wire::checkpoint_fetch& in)
{
    return api::checkpoint_fetch{in.request(), read_key(in.key())};
}

api::checkpoint_fetched read(const wire::checkpoint_fetched& in)
{
    return api::checkpoint_fetched{in.request(),
                                   read_key(in.key()),
                                   read_epoch(in.epoch()),
                                   core::instance_name{in.owner()},
                                   in.taken(),
                                   in.confirmed(),
                                   in.has_state() ? std::optional{read_state(in.state())}
                                                  : std::nullopt};
}

api::quarantine_notice read(const wire::quarantine_notice& in)
{
    return api::quarantine_notice{in.fingerprint(), in.lasts_ms()};
}

} // namespace cyclamen::peer::detail
