#include "log/log.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <nlohmann/json.hpp>

#include "base/real_clock.h"

namespace badgergrade::log {
namespace {

/// Names of the levels, in the order of `Level`.
constexpr std::string_view kLevelNames[] = {"debug", "info", "warning", "error", "off"};

/// Passes the text of each line to a callback.
class CallbackSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit CallbackSink(std::function<void(const std::string&)> on_line)
        : on_line_(std::move(on_line)) {}

private:
    void sink_it_(const spdlog::details::log_msg& message) override {
        on_line_(std::string(message.payload.data(), message.payload.size()));
    }

    void flush_() override {}

    std::function<void(const std::string&)> on_line_;
};

std::shared_ptr<spdlog::logger> logger_with(spdlog::sink_ptr sink) {
    auto logger = std::make_shared<spdlog::logger>("badgergrade", std::move(sink));
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::trace);
    logger->flush_on(spdlog::level::warn);
    return logger;
}

/// The text form of a value. A string is quoted and escaped as in JSON if it is empty or contains
/// a character that would end the field or the line.
std::string value_text(const Value& value) {
    if (const auto* text = std::get_if<std::string>(&value)) {
        const bool needs_no_quotes =
            !text->empty() && text->find_first_of(" \"=\n\r\t") == std::string::npos;
        return needs_no_quotes ? *text
                               : nlohmann::json(*text).dump(
                                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    if (const auto* integer = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*integer);
    }
    if (const auto* real = std::get_if<double>(&value)) {
        return fmt::format("{:.6g}", *real);
    }
    return std::get<bool>(value) ? "yes" : "no";
}

}  // namespace

Log::Log(const base::Clock& clock, Level level, Form form)
    : clock_(clock),
      level_(level),
      form_(form),
      has_wall_time_(true),
      logger_(logger_with(std::make_shared<spdlog::sinks::stderr_sink_st>())) {}

Log::Log(const base::Clock& clock, Level level, Form form,
         std::function<void(const std::string&)> on_line)
    : clock_(clock),
      level_(level),
      form_(form),
      logger_(logger_with(std::make_shared<CallbackSink>(std::move(on_line)))) {}

Log::Log(const base::Clock& clock) : clock_(clock), level_(Level::Off), form_(Form::Text) {}

void Log::write(Level level, std::string_view instance, std::string_view event,
                std::initializer_list<Field> fields) {
    if (!on(level) || !logger_) {
        return;
    }
    const std::string line = form_ == Form::Json ? json(level, instance, event, fields)
                                                 : text(level, instance, event, fields);
    constexpr spdlog::level::level_enum kSpdlogLevels[] = {spdlog::level::debug,
                                                           spdlog::level::info, spdlog::level::warn,
                                                           spdlog::level::err, spdlog::level::off};
    logger_->log(kSpdlogLevels[static_cast<int>(level)], spdlog::string_view_t(line));
}

std::string Log::text(Level level, std::string_view instance, std::string_view event,
                      std::initializer_list<Field> fields) const {
    std::string out = has_wall_time_ ? base::wall_time_text() + " " : std::string{};
    out += fmt::format("{:.6f} {} {} {}", static_cast<double>(clock_.now().count()) / 1e6,
                       kLevelNames[static_cast<int>(level)], instance, event);
    for (const Field& field : fields) {
        out.append(" ").append(field.name).append("=").append(value_text(field.value));
    }
    return out;
}

std::string Log::json(Level level, std::string_view instance, std::string_view event,
                      std::initializer_list<Field> fields) const {
    nlohmann::ordered_json out;
    if (has_wall_time_) {
        out["time"] = base::wall_time_text();
    }
    out["us"] = clock_.now().count();
    out["level"] = kLevelNames[static_cast<int>(level)];
    out["who"] = instance;
    out["event"] = event;
    for (const Field& field : fields) {
        std::visit([&](const auto& value) { out[std::string(field.name)] = value; }, field.value);
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace badgergrade::log
