#include "cli/TraceCommand.h"

#include "cli/TraceTree.h"
#include "cli/WorkCommands.h"
#include "cranberryreel/base/Error.h"

namespace cranberryreel::cli
{

namespace
{

/// Asks every entry VM that was given, since each keeps its own hops only.
void gather(Session &session, const std::string &id, TraceTree &tree, nlohmann::json &documents)
{
    EntryCall call;
    call.target = "/v1/ops/spans/" + pathPart(id);
    for (const std::string &entry : session.entries().entries()) {
        const nlohmann::json answer = session.entries().callOne(entry, call);
        for (const nlohmann::json &document : answer.is_array() ? answer : nlohmann::json::array({answer})) {
            if (document.is_object()) {
                tree.add(document);
                documents.push_back(document);
            }
        }
    }
}

} // namespace

base::ResultCode traceWork(Session &session, const Arguments &arguments)
{
    const std::string id = arguments.operand(0);
    TraceTree tree;
    nlohmann::json documents = nlohmann::json::array();
    gather(session, id, tree, documents);
    for (const std::string &trace : tree.traceIds()) {
        if (trace != id) {
            gather(session, trace, tree, documents);
        }
    }
    if (tree.empty()) {
        throw base::Error(base::ResultCode::NotFound,
                          "no entry VM keeps a span of it; name every entry VM with --entry, use an operator's key, and ask soon after the work");
    }
    if (session.wantsJson()) {
        session.printJson(documents);
    } else {
        session.out() << tree.draw();
    }
    return base::ResultCode::Ok;
}

} // namespace cranberryreel::cli
