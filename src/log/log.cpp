#include "log/log.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <nlohmann/json.hpp>

#include "base/real_clock.h"

namespace badgergrade::log {
namespace {

constexpr std::string_view kNames[] = {"debug", "info", "warning", "error", "off"};

class Handing final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit Handing(std::function<void(const std::string&)> to) : to_(std::move(to)) {}

private:
    void sink_it_(const spdlog::details::log_msg& line) override {
        to_(std::string(line.payload.data(), line.payload.size()));
    }

    void flush_() override {}

    std::function<void(const std::string&)> to_;
};

std::shared_ptr<spdlog::logger> logger_with(spdlog::sink_ptr sink) {
    auto logger = std::make_shared<spdlog::logger>("badgergrade", std::move(sink));
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::trace);
    logger->flush_on(spdlog::level::warn);
    return logger;
}

// A text field is quoted where it holds what would end it.
std::string plain(const Value& value) {
    if (const auto* text = std::get_if<std::string>(&value)) {
        const bool bare = !text->empty() && text->find_first_of(" \"=\n\r\t") == std::string::npos;
        return bare ? *text
                    : nlohmann::json(*text).dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
    }
    if (const auto* whole = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*whole);
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
      wall_(true),
      logger_(logger_with(std::make_shared<spdlog::sinks::stderr_sink_st>())) {}

Log::Log(const base::Clock& clock, Level level, Form form,
         std::function<void(const std::string&)> to)
    : clock_(clock),
      level_(level),
      form_(form),
      logger_(logger_with(std::make_shared<Handing>(std::move(to)))) {}

Log::Log(const base::Clock& clock) : clock_(clock), level_(Level::Off), form_(Form::Text) {}

void Log::write(Level level, std::string_view who, std::string_view event,
                std::initializer_list<Field> fields) {
    if (!on(level) || !logger_) {
        return;
    }
    const std::string line =
        form_ == Form::Json ? json(level, who, event, fields) : text(level, who, event, fields);
    constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                     spdlog::level::warn, spdlog::level::err,
                                                     spdlog::level::off};
    logger_->log(kLevels[static_cast<int>(level)], spdlog::string_view_t(line));
}

std::string Log::text(Level level, std::string_view who, std::string_view event,
                      std::initializer_list<Field> fields) const {
    std::string out = wall_ ? base::wall_time_text() + " " : std::string{};
    out += fmt::format("{:.6f} {} {} {}", static_cast<double>(clock_.now().count()) / 1e6,
                       kNames[static_cast<int>(level)], who, event);
    for (const Field& field : fields) {
        out.append(" ").append(field.name).append("=").append(plain(field.value));
    }
    return out;
}

std::string Log::json(Level level, std::string_view who, std::string_view event,
                      std::initializer_list<Field> fields) const {
    nlohmann::ordered_json out;
    if (wall_) {
        out["time"] = base::wall_time_text();
    }
    out["us"] = clock_.now().count();
    out["level"] = kNames[static_cast<int>(level)];
    out["who"] = who;
    out["event"] = event;
    for (const Field& field : fields) {
        std::visit([&](const auto& value) { out[std::string(field.name)] = value; }, field.value);
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace badgergrade::log
