#include "hibiscusfall/configuration/change_writer.hpp"

namespace hibiscusfall::configuration
{

namespace
{

constexpr unsigned most_conflicts = 20;
constexpr unsigned most_lost = 4;

finished end(change_outcome outcome, std::string reason)
{
    return {.result = {.outcome = outcome, .revision = 0, .reason = std::move(reason)}};
}

/// Ends without an answer from the store: refused only when no write can have reached it.
finished give_up(const change_writer& writer, std::string_view reason)
{
    if (writer.may_be_written) {
        return end(change_outcome::unknown,
                   "the store's answer was lost, so the outcome is not known yet; repeating the same change "
                   "id is harmless (" +
                       std::string{reason} + ")");
    }
    return end(change_outcome::refused, "nothing was changed: " + std::string{reason});
}

writer_step retry(change_writer& writer, std::string_view reason)
{
    ++writer.lost;
    if (writer.lost >= most_lost) {
        return give_up(writer, reason);
    }
    return read_step{};
}

} // namespace

std::string_view to_string(change_outcome value) noexcept
{
    switch (value) {
    case change_outcome::accepted:
        return "accepted";
    case change_outcome::refused:
        return "refused";
    case change_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

writer_step on_read(change_writer& writer, document kept)
{
    auto submitted = submit(writer.request, kept);
    if (submitted.refused) {
        return end(change_outcome::refused, std::move(submitted.refused->reason));
    }
    if (submitted.repeated) {
        return finished{
            .result = {.outcome = change_outcome::accepted, .revision = submitted.revision, .reason = {}}};
    }
    writer.attempted_revision = submitted.revision;
    return write_step{.next = std::move(kept)};
}

writer_step on_read_failed(change_writer& writer, std::string_view reason)
{
    return retry(writer, reason);
}

writer_step on_written(change_writer& writer, write_result result, std::string_view reason)
{
    switch (result) {
    case write_result::applied:
        return finished{.result = {.outcome = change_outcome::accepted,
                                   .revision = writer.attempted_revision,
                                   .reason = {}}};
    case write_result::conflict:
        writer.lost = 0;
        if (++writer.conflicts >= most_conflicts) {
            return give_up(writer, "other operators wrote first, again and again");
        }
        return read_step{};
    case write_result::not_sent:
        return retry(writer, reason);
    case write_result::unknown:
        break;
    }
    writer.may_be_written = true;
    return retry(writer, reason);
}

} // namespace hibiscusfall::configuration
