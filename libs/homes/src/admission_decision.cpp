#include <homes/admission_decision.hpp>

#include <utility>

namespace masticshift::homes
{

std::string_view name_of(decision_kind kind)
{
    switch (kind)
    {
    case decision_kind::start:
        return "start";
    case decision_kind::attach:
        return "attach";
    case decision_kind::answered:
        return "answered";
    case decision_kind::refused:
        break;
    }
    return "refused";
}

admission_decision make_refusal(result_code code, ran_state ran,
                                std::string detail)
{
    admission_decision decision;
    decision.kind = decision_kind::refused;
    decision.code = code;
    decision.ran = ran;
    decision.detail = std::move(detail);
    return decision;
}

admission_decision make_answered(answer_ptr answer)
{
    admission_decision decision;
    decision.kind = decision_kind::answered;
    decision.code = answer->code;
    decision.ran = answer->ran;
    decision.answer = std::move(answer);
    return decision;
}

} // namespace masticshift::homes
