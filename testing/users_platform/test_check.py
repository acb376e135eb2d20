import pytest

from medlar_platform.check import check
from medlar_platform.check import Exit

from .test_config import TEXT

SERVICES = '"services":[{"name":"a","health_check_path":"/h"}]'


@pytest.fixture
def path(tmp_path):
    def write(text):
        file = tmp_path / "config.json"
        file.write_text(text)
        return str(file)

    return write


def test_a_configuration_in_order_ends_with_0(path, capsys):
    text = TEXT.replace(SERVICES, '"services":[{"name":"a"},{"name":"b"}]')
    assert check(path(text)) is Exit.OK
    assert capsys.readouterr().out == ""


def test_a_route_to_a_service_that_is_not_defined_is_printed(path, capsys):
    assert check(path(TEXT)) is Exit.PROBLEMS
    assert "service 'b'" in capsys.readouterr().out


def test_an_unreadable_configuration_ends_with_2(path, capsys):
    assert check(path("{")) is Exit.UNREADABLE
    assert "config.json" in capsys.readouterr().err
