#include "model/configuration.hpp"

#include <algorithm>
#include <set>

#include "core/text.hpp"
#include "model/configuration_schema.hpp"
#include "model/rollout_decoder.hpp"
#include "json/schema.hpp"

namespace cyclamen::model {

namespace {

using document = nlohmann::json;

constexpr std::string_view remedy = "correct the declarations and apply them again";

template <class Item, class Name>
const Item* find_by_name(const std::vector<Item>& items, const Name& name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

label_set decode_labels(const document& body)
{
    std::map<std::string, std::string, std::less<>> labels;
    const document given = body.value("labels", document::object());
    for (const auto& [key, value] : given.items()) {
        labels.emplace(key, value.get<std::string>());
    }
    return label_set{std::move(labels)};
}

service decode_service(const document& body)
{
    return service{core::service_name{body["name"]},
                   body["kind"] == "generation" ? service_kind::generation : service_kind::plain,
                   core::version_name{body.value("version", "")}};
}

client_account decode_account(const document& body)
{
    return client_account{core::account_name{body["name"]}, body["key_hash"], decode_labels(body),
                          body.value("share", 1U), body.value("priority", 0U)};
}

/// Decodes the sections of declarations and collects the errors in them.
class decoder {
  public:
    explicit decoder(const document& declarations) : declarations_{declarations} {}

    configuration decode(core::revision revision)
    {
        std::vector<service> services;
        for (const document& body : section("services")) {
            services.push_back(decode_service(body));
            check_unique("services", body["name"]);
        }
        std::vector<client_account> accounts;
        for (const document& body : section("accounts")) {
            accounts.push_back(decode_account(body));
            check_unique("accounts", body["name"]);
        }
        std::vector<target> targets;
        for (const document& body : section("targets")) {
            decode_target(body, services, targets);
        }
        auto rollouts = decode_rollouts(section("rollouts"), services, targets, errors_);
        return configuration{revision, std::move(services), std::move(targets), std::move(accounts),
                             std::move(rollouts)};
    }

    [[nodiscard]] const std::vector<json::validation_error>& errors() const { return errors_; }

  private:
    const document& declarations_;
    std::vector<json::validation_error> errors_;
    std::set<std::pair<std::string, std::string>> seen_;

    [[nodiscard]] document section(const char* key) const
    {
        return declarations_.value(key, document::array());
    }

    void check_unique(const std::string& key, const std::string& name)
    {
        if (!seen_.emplace(key, name).second) {
            errors_.push_back(json::validation_error{
                core::concat("/", key), core::concat("name ", name, " is declared twice")});
        }
    }

    void decode_target(const document& body, const std::vector<service>& services,
                       std::vector<target>& targets)
    {
        const std::string pointer = core::concat("/targets/", targets.size());
        check_unique("targets", body["name"]);
        const core::service_name service_name{body["service"]};
        if (find_by_name(services, service_name) == nullptr) {
            errors_.push_back(json::validation_error{
                core::concat(pointer, "/service"),
                core::concat("service ", service_name.str(), " is not declared")});
        }
        const auto address = core::parse_socket_address(body["address"].get<std::string>());
        if (!address.ok()) {
            errors_.push_back(json::validation_error{core::concat(pointer, "/address"),
                                                     std::string{address.status().message()}});
        }
        targets.push_back(target{core::target_name{body["name"]}, service_name,
                                 core::version_name{body.value("version", "")},
                                 address.value_or(core::socket_address{"", 0}),
                                 core::failure_domain_name{body["failure_domain"]},
                                 decode_labels(body), body.value("checks_fencing", true)});
    }
};

} // namespace

const service* configuration::find_service(const core::service_name& name) const
{
    return find_by_name(services, name);
}

const target* configuration::find_target(const core::target_name& name) const
{
    return find_by_name(targets, name);
}

const client_account* configuration::find_account(const std::string& bearer_key) const
{
    const std::string hash = hash_key(bearer_key);
    const auto found =
        std::find_if(accounts.begin(), accounts.end(),
                     [&](const client_account& account) { return account.key_hash == hash; });
    return found == accounts.end() ? nullptr : &*found;
}

absl::StatusOr<configuration_ptr> decode_configuration(const document& declarations,
                                                       core::revision revision)
{
    const auto schema_errors = json::validate(declarations, configuration_schema());
    if (!schema_errors.empty()) {
        return json::to_error(schema_errors, "declarations", remedy);
    }
    decoder document_decoder{declarations};
    auto decoded = std::make_shared<const configuration>(document_decoder.decode(revision));
    if (!document_decoder.errors().empty()) {
        return json::to_error(document_decoder.errors(), "declarations", remedy);
    }
    return decoded;
}

} // namespace cyclamen::model
