#include "configuration_shell.hpp"

#include "peer_calls.hpp"

#include "hibiscusfall/configuration/delta.hpp"
#include "hibiscusfall/scheduling/rendezvous.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>

namespace hibiscusfall::node::detail
{

namespace
{

constexpr std::string_view document_key = "hibiscusfall/configuration";
constexpr core::duration tick_interval = std::chrono::milliseconds{100};
constexpr core::duration watch_silence = std::chrono::seconds{30};
constexpr std::chrono::milliseconds watch_retry{500};
constexpr std::chrono::milliseconds write_retry{200};
constexpr std::chrono::milliseconds fetch_timeout{2000};
constexpr std::size_t remembered_documents = 16;
constexpr std::size_t members_told = 3;

configuration::write_result result_of(platform::swap_outcome outcome) noexcept
{
    switch (outcome) {
    case platform::swap_outcome::applied:
        return configuration::write_result::applied;
    case platform::swap_outcome::conflict:
        return configuration::write_result::conflict;
    case platform::swap_outcome::not_sent:
        return configuration::write_result::not_sent;
    case platform::swap_outcome::unknown:
        return configuration::write_result::unknown;
    }
    return configuration::write_result::unknown;
}

} // namespace

configuration_shell::configuration_shell(node_core& given, std::shared_ptr<platform::store_counters> counters)
    : parts(given),
      store(platform::store_options{.store = given.settings.store, .counters = std::move(counters)}),
      key(peer_call_key(given.settings.fleet_secret))
{
    this->keeper.random_state = given.self.incarnation ^ std::hash<core::instance_id>{}(given.self.id);
}

void configuration_shell::start(core::instant now)
{
    this->fetcher.start();
    this->reader.start();
    this->watcher = std::thread([this] { this->hold_watch(); });
    this->parts.hub.on<protocol::configuration_notice>([this](const protocol::sender& from,
                                                              const protocol::configuration_notice& message,
                                                              core::instant at) {
        configuration::keeper_effects wanted;
        configuration::on_peer_revision(this->keeper, from.id, message.revision, at, wanted);
        this->perform(wanted);
    });
    this->parts.on_newer_revision.emplace_back(
        [this](const membership::revision_notice& notice, core::instant at) {
            configuration::keeper_effects wanted;
            configuration::on_peer_revision(this->keeper, notice.id, notice.revision, at, wanted);
            this->perform(wanted);
        });
    this->parts.on_members_changed.emplace_back([this](core::instant at) { this->take_members(at); });
    this->parts.loop.timers().every(tick_interval, now, [this](core::instant at) {
        configuration::keeper_effects wanted;
        configuration::on_tick(this->keeper, at, wanted);
        this->perform(wanted);
    });
    this->take_members(now);
}

void configuration_shell::stop()
{
    this->stopping = true;
    {
        const std::lock_guard lock(this->mutex);
        if (this->end_watch) {
            this->end_watch();
        }
    }
    this->fetcher.stop();
    this->reader.stop();
    if (this->watcher.joinable()) {
        this->watcher.join();
    }
}

void configuration_shell::perform(const configuration::keeper_effects& wanted)
{
    if (wanted.fetch_from) {
        this->fetcher.post([this, peer = *wanted.fetch_from] { this->fetch(peer); });
    }
    if (wanted.read_store) {
        this->reader.post([this] { this->read_store(); });
    }
    if (wanted.notify) {
        this->notify_members();
    }
}

void configuration_shell::notify_members()
{
    for (const auto& record : membership::pick_live(this->parts.members, members_told)) {
        this->parts.hub.send(record.id, protocol::configuration_notice{.revision = this->keeper.revision});
    }
}

void configuration_shell::take_members(core::instant now)
{
    std::vector<core::instance_id> candidates;
    const auto& live = membership::live_members(this->parts.members);
    for (const auto& member : live) {
        if (member.domain == this->parts.settings.domain) {
            candidates.push_back(member.id);
        }
    }
    const auto role = "configuration/" + this->parts.settings.domain.str();
    const bool first = scheduling::choose_holder(candidates, role) == this->parts.self.id;
    configuration::on_members(this->keeper, live.size(), first, now);
    if (this->wants_watch.exchange(first) && !first) {
        const std::lock_guard lock(this->mutex);
        if (this->end_watch) {
            this->end_watch();
        }
    }
}

void configuration_shell::adopt(configuration::document document, std::string_view source)
{
    const auto revision = document.revision;
    if (!this->parts.configuration.publish(std::move(document))) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->recent.push_back(this->parts.configuration.current());
        if (this->recent.size() > remembered_documents) {
            this->recent.pop_front();
        }
    }
    telemetry::write(
        telemetry::log_event{"configuration_adopted"}.with("revision", revision).with("source", source));
    this->parts.loop.post([this, revision](core::instant now) {
        configuration::keeper_effects wanted;
        if (!configuration::on_document(this->keeper, revision, now, wanted)) {
            return;
        }
        this->parts.members.configuration_revision = revision;
        this->perform(wanted);
        for (const auto& call : this->parts.on_configuration_changed) {
            call(now);
        }
    });
}

void configuration_shell::adopt_text(const std::string& text, std::string_view source)
{
    std::string reason;
    auto document = configuration::from_json(text, reason);
    if (!document) {
        telemetry::write_error(
            telemetry::log_event{"configuration_unreadable"}.with("source", source).with("reason", reason));
        return;
    }
    this->adopt(std::move(*document), source);
}

void configuration_shell::adopt_answer(const rpc::fields& answer)
{
    const auto current = this->parts.configuration.current();
    const auto delta = answer.texts.find("delta");
    const auto document = answer.texts.find("document");
    if (delta != answer.texts.end() && current) {
        std::string reason;
        auto next = configuration::apply_delta(*current, delta->second, reason);
        if (next) {
            this->adopt(std::move(*next), "peer_delta");
        }
    } else if (document != answer.texts.end()) {
        this->adopt_text(document->second, "peer");
    }
}

void configuration_shell::fetch(const core::instance_id& peer)
{
    const auto to = this->parts.loop.ask([this, &peer] {
        const auto found = this->parts.members.others.find(peer);
        return found == this->parts.members.others.end() ? core::address{} : found->second.record.operators;
    });
    if (to) {
        const auto current = this->parts.configuration.current();
        const rpc::fields asked{.texts = {}, .numbers = {{"have", current ? current->revision : 0}}};
        const auto answer = call_peer(this->key, to, configuration_method, asked, fetch_timeout);
        if (answer) {
            this->adopt_answer(answer.values);
        } else {
            telemetry::write(telemetry::log_event{"configuration_fetch_failed"}
                                 .with("peer", peer.view())
                                 .with("reason", rpc::to_string(answer.error)));
        }
    }
    this->parts.loop.post([this](core::instant now) {
        configuration::keeper_effects wanted;
        configuration::on_fetch_ended(this->keeper, now, wanted);
        this->perform(wanted);
    });
}

void configuration_shell::read_store()
{
    std::string reason;
    const auto kept = this->store.read(document_key, reason);
    if (kept && kept->modified_at != 0) {
        this->adopt_text(kept->value, "store");
    }
    this->parts.loop.post([this, reached = kept.has_value()](core::instant now) {
        configuration::on_store_read(this->keeper, reached, now);
    });
}

rpc::fields configuration_shell::answer_peer(std::uint64_t have) const
{
    rpc::fields answer;
    const auto current = this->parts.configuration.current();
    if (!current) {
        return answer;
    }
    answer.numbers["revision"] = current->revision;
    if (have >= current->revision) {
        return answer;
    }
    std::shared_ptr<const configuration::document> base;
    {
        const std::lock_guard lock(this->mutex);
        const auto known = std::find_if(this->recent.begin(), this->recent.end(), [have](const auto& item) {
            return item->revision == have;
        });
        base = known == this->recent.end() ? nullptr : *known;
    }
    if (base) {
        answer.texts["delta"] = configuration::write_delta(*base, *current);
    } else {
        answer.texts["document"] = configuration::to_json(*current);
    }
    return answer;
}

void configuration_shell::hold_watch()
{
    const auto report = [this](bool established) {
        this->parts.loop.post([this, established](core::instant now) {
            configuration::on_watch(this->keeper, established, now);
        });
    };
    const platform::store_client::watch_events events{
        .started =
            [this](std::function<void()> end) {
                const std::lock_guard lock(this->mutex);
                this->end_watch = std::move(end);
            },
        .established = [&report] { report(true); },
        .changed = [this](const platform::stored_value& value) { this->adopt_text(value.value, "watch"); },
        .cancelled = [this] { return this->stopping || !this->wants_watch; }};
    while (!this->stopping) {
        if (this->wants_watch) {
            this->store.watch(document_key, watch_silence, events);
            report(false);
        }
        std::this_thread::sleep_for(watch_retry);
    }
}

configuration::writer_step configuration_shell::run_step(configuration::change_writer& writer,
                                                         const configuration::writer_step& step,
                                                         std::int64_t& read_at)
{
    std::string reason;
    if (const auto* write = std::get_if<configuration::write_step>(&step)) {
        const auto text = configuration::to_json(write->next);
        const auto outcome = this->store.compare_and_swap(document_key, read_at, text, reason);
        if (outcome == platform::swap_outcome::applied) {
            this->adopt(write->next, "operator");
        }
        return configuration::on_written(writer, result_of(outcome), reason);
    }
    const auto kept = this->store.read(document_key, reason);
    if (!kept) {
        return configuration::on_read_failed(writer, reason);
    }
    read_at = kept->modified_at;
    if (kept->modified_at == 0) {
        return configuration::on_read(writer, {});
    }
    auto document = configuration::from_json(kept->value, reason);
    if (!document) {
        return configuration::on_read_failed(writer, reason);
    }
    // It may hold this change, written by an attempt without an answer.
    if (const auto current = this->parts.configuration.current();
        !current || document->revision > current->revision) {
        this->adopt(*document, "operator");
    }
    return configuration::on_read(writer, std::move(*document));
}

change_result configuration_shell::change(const configuration::change_request& request)
{
    configuration::change_writer writer{.request = request};
    configuration::writer_step step = configuration::read_step{};
    std::int64_t read_at = 0;
    while (true) {
        const auto lost_before = writer.lost;
        step = this->run_step(writer, step, read_at);
        if (const auto* end = std::get_if<configuration::finished>(&step)) {
            return end->result;
        }
        if (writer.lost > lost_before) {
            std::this_thread::sleep_for(write_retry * writer.lost);
        }
    }
}

} // namespace hibiscusfall::node::detail
